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

// lingerTime is how long a refused caller may go on sending.
const lingerTime = 500 * time.Millisecond

// framing is how many times the body the chunks may be on the wire.
const framing = 2

// errProtocol tells that the request is not HTTP/1.
var errProtocol = errors.New("ingress: not HTTP/1")

// processor follows the parser through one request after the other. It runs on
// the connection's reading goroutine.
type processor struct {
	nbhttp.Processor
	conn *connection
	// size counts the bytes since the last whole request.
	size int
	// header holds the fields of the request under way that decide on its body.
	header   http.Header
	inBody   bool
	chunked  bool
	reserved taken
	// cut tells that a head that ends in the bytes given to the parser ends with
	// them.
	cut bool
	// handedOver tells that the request was handed over before its body was
	// whole.
	handedOver bool
	// bodyBytes counts the body's bytes that were handed over.
	bodyBytes int64
	// refused tells that the caller got its last answer on this connection.
	refused bool
}

func (p *processor) count(n int) { p.size += n }

// headTooLong reports whether a head that is not whole yet is over its bound.
func (p *processor) headTooLong() bool {
	return !p.inBody && p.size > p.conn.server.options.MaxHeaderBytes
}

// underWay reports whether a request has begun and is not handed over.
func (p *processor) underWay() bool { return p.size > 0 && !p.handedOver }

// timeLeft bounds what the request under way still needs.
func (p *processor) timeLeft() time.Duration {
	if !p.inBody {
		return p.conn.server.options.HeaderTimeout
	}
	if t := p.reserved.reservation.Timeout; t > 0 {
		return t
	}
	return p.conn.server.options.BodyTimeout
}

// OnMethod implements nbhttp.Processor: a new request begins.
func (p *processor) OnMethod(parser *nbhttp.Parser, method string) {
	p.forgetHeader()
	p.reserved = taken{began: time.Now()}
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
	if decides(key) {
		p.header[key] = append(p.header[key], value)
	}
	p.Processor.OnHeader(parser, key, value)
}

// Bounds of what is kept of one request's fields for the next.
const (
	maxKeptFields    = 16
	maxKeptNameBytes = 32
	maxKeptValues    = 4
)

// forgetHeader empties the fields of the last request and keeps their lists for
// the next one, which mostly has the same.
//
// Guard against a caller that invents names, or sends long or many values, on
// each of its connections: it shows as memory that no account's share covers.
// The guard holds because no value is kept, and few, short names are.
func (p *processor) forgetHeader() {
	if len(p.header) > maxKeptFields {
		p.header = make(http.Header)
		return
	}
	for key, values := range p.header {
		if len(key) > maxKeptNameBytes || cap(values) > maxKeptValues {
			delete(p.header, key)
			continue
		}
		clear(values)
		p.header[key] = values[:0]
	}
}

// decides reports whether a field matters to whether the body may come.
func decides(key string) bool {
	switch key {
	case "Expect", "Transfer-Encoding", result.HeaderKey:
		return true
	}
	return strings.HasPrefix(key, "Yucca-")
}

// OnContentLength implements nbhttp.Processor: the head is whole. The body is
// admitted or refused here, before its bytes take memory.
func (p *processor) OnContentLength(parser *nbhttp.Parser, length int) {
	p.Processor.OnContentLength(parser, length)
	p.inBody = true
	p.chunked = len(p.header["Transfer-Encoding"]) > 0
	if length <= 0 && !p.chunked {
		return
	}
	if length > p.conn.server.options.MaxBodyBytes {
		p.refuse(result.RequestTooLarge)
		return
	}
	p.reserve(int64(length))
	if length > collectOverBytes && !p.chunked && p.cut && !p.refused {
		p.reserved.body = newBody(int64(length))
		p.conn.setComing(p.reserved.body)
	}
}

// collect takes the bytes of the body that is collected, hands the request over
// when that is due, and returns the other bytes.
func (p *processor) collect(data []byte) []byte {
	b := p.conn.coming
	n := b.add(data)
	if b.hasEnded() {
		// The request was answered, or the caller has gone, before this.
		p.refused = true
		return nil
	}
	if !p.handedOver && b.due(p.reserved.reservation.LeadTime) {
		b.limit(time.Now().Add(p.reserved.reservation.LeadTime + stallTime))
		p.handOver()
		p.handedOver = true
	}
	if _, whole := b.CompletedAt(); !whole {
		return nil
	}
	// The parser still awaits the body; a new one awaits the next request.
	p.conn.setComing(nil)
	p.conn.renewParser()
	p.handedOver = false
	p.inBody = false
	p.size = 0
	return data[n:]
}

// reserve asks for the memory; a length below 0 is not known.
func (p *processor) reserve(length int64) {
	bodies := p.conn.server.options.BodyAdmitter
	if bodies == nil {
		p.invite()
		return
	}
	reservation, code := bodies.ReserveBody(p.header, length)
	if code != result.OK {
		p.refuse(code)
		return
	}
	p.reserved.reservation = reservation
	p.invite()
}

// invite answers callers that wait to be asked for the body; nbhttp does not.
func (p *processor) invite() {
	if !strings.EqualFold(p.header.Get("Expect"), "100-continue") {
		return
	}
	c := p.conn
	c.Execute(func() { _, _ = c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) })
}

// OnBody implements nbhttp.Processor.
func (p *processor) OnBody(parser *nbhttp.Parser, data []byte) error {
	if p.refused {
		return nil
	}
	p.bodyBytes += int64(len(data))
	if p.bodyBytes > p.bodyLimit() {
		p.refuse(result.RequestTooLarge)
		return nil
	}
	return p.Processor.OnBody(parser, data)
}

func (p *processor) bodyLimit() int64 {
	if limit := p.reserved.reservation.MaxBytes; limit > 0 {
		return limit
	}
	return int64(p.conn.server.options.MaxBodyBytes)
}

// bodyTooLong reports whether a body of unknown length is over its bound. The
// parser holds a chunk until it is whole, so that its bytes are bounded here.
func (p *processor) bodyTooLong() bool {
	head := int64(p.conn.server.options.MaxHeaderBytes)
	return p.inBody && p.chunked && int64(p.size) > head+framing*p.bodyLimit()
}

// OnComplete implements nbhttp.Processor: the request is handed over, unless
// it was refused.
func (p *processor) OnComplete(parser *nbhttp.Parser) {
	if p.refused {
		p.Processor.Clean(parser)
		return
	}
	p.inBody = false
	p.size = 0
	p.handOver()
}

func (p *processor) handOver() {
	// Deadlines for reading end here: they must not run on while the request
	// is served and close the connection under its answer.
	_ = p.conn.SetReadDeadline(time.Time{})
	p.conn.putTaken(p.reserved)
	p.reserved = taken{}
	p.Processor.OnComplete(p.conn.parser)
}

// Close implements nbhttp.Processor: it frees what a request that never became
// whole had reserved.
func (p *processor) Close(parser *nbhttp.Parser, err error) {
	// Bytes may still be on their way here from the reading goroutine.
	p.refused = true
	p.drop()
	p.conn.dropTaken()
	p.Processor.Close(parser, err)
}

// drop frees what the request under way has reserved. That is done when the
// connection closes: until then the parser holds the bytes that came.
func (p *processor) drop() {
	p.reserved.release()
	p.reserved = taken{}
}

// refuse gives the numbered result as the connection's last answer. It goes
// through the connection's order of work: an earlier request of the caller
// that is still served must be answered first.
func (p *processor) refuse(code result.Code) {
	if p.refused {
		return
	}
	p.refused = true
	c := p.conn
	c.Execute(func() {
		_, _ = c.Write(refusalText(code))
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	})
}

// refusalText renders a refusal that is not an answer to a parsed request.
func refusalText(code result.Code) []byte {
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

// refusalRetryAfter is when a caller may come back to a node whose memory was
// full.
const refusalRetryAfter = 200 * time.Millisecond

// writeRetryAfter renders when the caller may come back.
func writeRetryAfter(b *strings.Builder) {
	h := make(http.Header)
	result.SetRetryAfter(h, result.Spread(refusalRetryAfter))
	_ = h.Write(b)
}
