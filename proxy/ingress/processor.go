package ingress

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// maxChunkedRatio bounds the wire size of a chunked body relative to its limit.
const maxChunkedRatio = 2

var errProtocol = errors.New("ingress: not HTTP/1")

// processor handles the parser's events for successive requests, on the
// connection's reading goroutine.
type processor struct {
	nbhttp.Processor
	conn *connection
	// receivedBytes counts the bytes since the last complete request.
	receivedBytes int
	// admissionHeader holds the fields that decide on the body of this request.
	admissionHeader http.Header
	inBody          bool
	chunked         bool
	current         requestState
	// splitAtBlankLine is set if the bytes given to the parser end after a
	// blank line, so that a header that ends in them has no body bytes behind
	// it.
	splitAtBlankLine bool
	// dispatchedEarly is set if the request was dispatched before its body was
	// complete.
	dispatchedEarly bool
	// bodyBytes counts the body bytes passed on by the parser.
	bodyBytes int64
	// rejected is set after the last response on this connection.
	rejected bool
}

func (p *processor) count(n int) { p.receivedBytes += n }

// headerTooLarge reports whether an incomplete header exceeds its limit.
func (p *processor) headerTooLarge() bool {
	return !p.inBody && p.receivedBytes > p.conn.server.options.MaxHeaderBytes
}

// isReceiving reports whether a request has begun and is not dispatched.
func (p *processor) isReceiving() bool { return p.receivedBytes > 0 && !p.dispatchedEarly }

// readTimeout bounds the time for the rest of the request.
func (p *processor) readTimeout() time.Duration {
	if !p.inBody {
		return p.conn.server.options.HeaderTimeout
	}
	if t := p.current.reservation.Timeout; t > 0 {
		return t
	}
	return p.conn.server.options.BodyTimeout
}

// OnMethod implements nbhttp.Processor. A new request begins.
func (p *processor) OnMethod(parser *nbhttp.Parser, method string) {
	p.resetAdmissionHeader()
	p.current = requestState{startedAt: time.Now()}
	p.bodyBytes = 0
	p.Processor.OnMethod(parser, method)
}

// OnProto implements nbhttp.Processor.
func (p *processor) OnProto(parser *nbhttp.Parser, proto string) error {
	if !strings.HasPrefix(proto, "HTTP/1.") {
		return errProtocol
	}
	return p.Processor.OnProto(parser, proto)
}

// OnHeader implements nbhttp.Processor.
func (p *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	if isAdmissionField(key) {
		p.admissionHeader[key] = append(p.admissionHeader[key], value)
	}
	p.Processor.OnHeader(parser, key, value)
}

// Limits on the admission fields whose memory is reused by the next request.
const (
	maxRetainedFields    = 16
	maxRetainedNameBytes = 32
	maxRetainedValues    = 4
)

// resetAdmissionHeader clears the fields but keeps their slices, since
// successive requests mostly have the same fields. The limits bound the memory
// of a client that sends many, long or repeated names.
func (p *processor) resetAdmissionHeader() {
	if len(p.admissionHeader) > maxRetainedFields {
		p.admissionHeader = make(http.Header)
		return
	}
	for key, values := range p.admissionHeader {
		if len(key) > maxRetainedNameBytes || cap(values) > maxRetainedValues {
			delete(p.admissionHeader, key)
			continue
		}
		clear(values)
		p.admissionHeader[key] = values[:0]
	}
}

// isAdmissionField reports whether a field is needed to admit the body.
func isAdmissionField(key string) bool {
	switch key {
	case "Expect", "Transfer-Encoding", result.HeaderKey:
		return true
	}
	return strings.HasPrefix(key, "Yucca-")
}

// OnContentLength implements nbhttp.Processor. The header is complete; the body
// is admitted or rejected before it takes memory.
func (p *processor) OnContentLength(parser *nbhttp.Parser, length int) {
	p.Processor.OnContentLength(parser, length)
	p.inBody = true
	p.chunked = len(p.admissionHeader["Transfer-Encoding"]) > 0
	if length <= 0 && !p.chunked {
		return
	}
	if length > p.conn.server.options.MaxBodyBytes {
		p.reject(result.RequestTooLarge)
		return
	}
	p.reserve(int64(length))
	if length > collectThresholdBytes && !p.chunked && p.splitAtBlankLine && !p.rejected {
		p.current.body = newBody(int64(length))
		p.conn.setIncoming(p.current.body)
	}
}

// collect adds data to the collected body, dispatches the request when it is
// ready, and returns the remaining bytes.
func (p *processor) collect(data []byte) []byte {
	b := p.conn.incoming
	n := b.write(data)
	if b.isAborted() {
		// The request was answered or the client closed the connection.
		p.rejected = true
		return nil
	}
	if !p.dispatchedEarly && b.readyForDispatch(p.current.reservation.LeadTime) {
		b.setStallDeadline(time.Now().Add(p.current.reservation.LeadTime + stallTimeout))
		p.dispatch()
		p.dispatchedEarly = true
	}
	if _, complete := b.CompletedAt(); !complete {
		return nil
	}
	// The parser still expects the body; a new one expects the next request.
	p.conn.setIncoming(nil)
	p.conn.resetParser()
	p.dispatchedEarly = false
	p.inBody = false
	p.receivedBytes = 0
	return data[n:]
}

// reserve requests admission of the body; a negative length is unknown.
func (p *processor) reserve(length int64) {
	bodies := p.conn.server.options.BodyAdmitter
	if bodies == nil {
		p.sendContinue()
		return
	}
	reservation, code := bodies.ReserveBody(p.admissionHeader, length)
	if code != result.OK {
		p.reject(code)
		return
	}
	p.current.reservation = reservation
	p.sendContinue()
}

// sendContinue answers "Expect: 100-continue", which nbhttp does not.
func (p *processor) sendContinue() {
	if !strings.EqualFold(p.admissionHeader.Get("Expect"), "100-continue") {
		return
	}
	c := p.conn
	c.Execute(func() { _, _ = c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) })
}

// OnBody implements nbhttp.Processor.
func (p *processor) OnBody(parser *nbhttp.Parser, data []byte) error {
	if p.rejected {
		return nil
	}
	p.bodyBytes += int64(len(data))
	if p.bodyBytes > p.bodyLimit() {
		p.reject(result.RequestTooLarge)
		return nil
	}
	return p.Processor.OnBody(parser, data)
}

func (p *processor) bodyLimit() int64 {
	if limit := p.current.reservation.MaxBytes; limit > 0 {
		return limit
	}
	return int64(p.conn.server.options.MaxBodyBytes)
}

// bodyTooLarge reports whether a chunked body exceeds its limit on the wire.
// The parser buffers a whole chunk before OnBody sees it.
func (p *processor) bodyTooLarge() bool {
	head := int64(p.conn.server.options.MaxHeaderBytes)
	return p.inBody && p.chunked && int64(p.receivedBytes) > head+maxChunkedRatio*p.bodyLimit()
}

// OnComplete implements nbhttp.Processor. It dispatches the request unless it
// was rejected.
func (p *processor) OnComplete(parser *nbhttp.Parser) {
	if p.rejected {
		p.Processor.Clean(parser)
		return
	}
	p.inBody = false
	p.receivedBytes = 0
	p.dispatch()
}

func (p *processor) dispatch() {
	p.conn.active.Add(1)
	p.conn.pushDispatched(p.current)
	p.current = requestState{}
	p.Processor.OnComplete(p.conn.parser)
}

// Close implements nbhttp.Processor. It releases the reservations of requests
// that no handler will see.
func (p *processor) Close(parser *nbhttp.Parser, err error) {
	// The reading goroutine may still deliver bytes.
	p.rejected = true
	p.releaseCurrent()
	p.conn.releaseDispatched()
	p.Processor.Close(parser, err)
}

// releaseCurrent releases the reservation of an incomplete request. It is
// called when the connection closes, since the parser holds the bytes until
// then.
func (p *processor) releaseCurrent() {
	p.current.release()
	p.current = requestState{}
}

// reject queues a result code as the last response on the connection, behind
// the responses to earlier pipelined requests.
func (p *processor) reject(code result.Code) {
	if p.rejected {
		return
	}
	p.rejected = true
	c := p.conn
	c.Execute(func() { _, _ = c.Write(rejectionResponse(code)) })
	c.linger()
}

// rejectionResponse formats a response to a request that was not parsed.
func rejectionResponse(code result.Code) []byte {
	info := result.InfoOf(code)
	text := info.Name + ": " + info.Meaning + "\n"
	var b strings.Builder
	b.WriteString("HTTP/1.1 " + strconv.Itoa(info.HTTP) + " " + http.StatusText(info.HTTP) + "\r\n")
	b.WriteString(result.HeaderResult + ": " + strconv.Itoa(int(info.Code)) + "\r\n")
	b.WriteString(result.HeaderOutcome + ": " + info.Outcome.String() + "\r\n")
	if info.Retry {
		writeRetryAfter(&b)
	}
	b.WriteString("Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n")
	b.WriteString(text)
	return []byte(b.String())
}

// rejectionRetryAfter is the retry delay for requests rejected for lack of
// memory.
const rejectionRetryAfter = 200 * time.Millisecond

// writeRetryAfter writes the retry header fields.
func writeRetryAfter(b *strings.Builder) {
	h := make(http.Header)
	result.SetRetryAfter(h, result.Spread(rejectionRetryAfter))
	_ = h.Write(b)
}
