package forward

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// Match tells how the request ID of an answer compares with that of the request.
type Match uint8

// The ways in which an answer names a request.
const (
	// NoAnswer: no header of an answer was read.
	NoAnswer Match = iota
	// OwnID: the answer names this request and no other.
	OwnID
	// OtherID: it names another request.
	OtherID
	// NoID: it names none, or its ID is empty.
	NoID
	// SeveralIDs: it has the field more than once, with different values.
	SeveralIDs
)

// String returns the word used in logs.
func (m Match) String() string {
	return [...]string{"no-answer", "own-id", "other-id", "no-id", "several-ids"}[m]
}

// matchID compares the values of an answer's ID field with the ID of the request.
func matchID(values []string, id string) Match {
	if len(values) == 0 {
		return NoID
	}
	for _, other := range values[1:] {
		if other != values[0] {
			return SeveralIDs
		}
	}
	switch values[0] {
	case "":
		return NoID
	case id:
		return OwnID
	}
	return OtherID
}

// Discarded is an answer that was read and not taken for that of the exchange.
type Discarded struct {
	Status int
	Match  Match
}

// Trace describes an exchange, for logs.
type Trace struct {
	// Conn numbers the connection within the process, Exchange the exchange on it; both begin with 1.
	Conn, Exchange uint64
	// Written is how many bytes of the request were written.
	Written int64
	// Match is how the answer names the request, Discarded are those before it, at most maxResponseHeaders.
	Match     Match
	Discarded []Discarded
}

// Exchanged returns "CONNECTION#EXCHANGE", "" without an exchange.
func (t *Trace) Exchanged() string {
	if t.Exchange == 0 {
		return ""
	}
	return strconv.FormatUint(t.Conn, 10) + "#" + strconv.FormatUint(t.Exchange, 10)
}

// DiscardedText returns "STATUS MATCH" of each discarded answer, separated by commas.
func (t *Trace) DiscardedText() string {
	texts := make([]string, len(t.Discarded))
	for i, d := range t.Discarded {
		texts[i] = strconv.Itoa(d.Status) + " " + d.Match.String()
	}
	return strings.Join(texts, ", ")
}

// connCounter numbers the connections of the process.
var connCounter atomic.Uint64

// Trace describes the last exchange over the connection.
func (c *Conn) Trace() Trace { return c.trace }

// beginTrace starts the trace of an exchange.
func (c *Conn) beginTrace() {
	c.trace = Trace{Conn: c.trace.Conn, Exchange: c.trace.Exchange + 1}
}

// match records how an answer names the request.
func (c *Conn) match(resp *http.Response, r *Request, exchangeID uint64) Match {
	if r.Dialect == nil {
		var digits [16]byte
		c.trace.Match = matchID(resp.Header[result.HeaderExchange], string(appendExchangeID(digits[:0], exchangeID)))
	} else {
		c.trace.Match = matchID(resp.Header[http.CanonicalHeaderKey(r.Dialect.IDField)], r.Dialect.ID)
	}
	return c.trace.Match
}

func (c *Conn) discarded(resp *http.Response) {
	c.trace.Discarded = append(c.trace.Discarded, Discarded{Status: resp.StatusCode, Match: c.trace.Match})
}
