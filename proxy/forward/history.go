package forward

import (
	"hash/maphash"
	"slices"
)

// maxExchanges bounds the exchanges over one connection, and so the memory for the IDs of its requests.
const maxExchanges = 512

var historySeed = maphash.MakeSeed()

// history holds the IDs of the requests sent over a connection, hashed: two IDs with one hash only cost a
// connection.
type history struct{ ids []uint64 }

func (h *history) add(id string) { h.ids = append(h.ids, maphash.String(historySeed, id)) }

func (h *history) has(id string) bool {
	return len(h.ids) > 0 && slices.Contains(h.ids, maphash.String(historySeed, id))
}

func (h *history) isFull() bool { return len(h.ids) >= maxExchanges }

// Carried reports whether a request with this ID was sent over the connection. It must not be sent over it
// again: a late second copy of the first answer has the ID of the second exchange too.
func (c *Conn) Carried(id string) bool { return c.history.has(id) }

// recordRequest adds a request to the history. It returns an error if its answer could not be told from that of
// another one. Exchange IDs, used without a dialect, are unique and need no history.
func (c *Conn) recordRequest(r *Request) error {
	switch {
	case r.Dialect == nil:
		return nil
	case r.Dialect.ID == "":
		return errNoID
	case c.Carried(r.Dialect.ID):
		return errRepeatedID
	case r.Dialect.AcceptUnnamed && len(c.history.ids) > 0:
		return errNotAlone
	}
	c.history.add(r.Dialect.ID)
	return nil
}
