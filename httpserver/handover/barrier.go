package handover

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"
)

// order makes a probe's making visible to its poller: the engine hands a
// connection over through the kernel only, which Go's memory model does not
// count as order.
var order atomic.Uint64

// barrier tells when a poller has done with the events it had fetched.
type barrier struct {
	// far is the end written to; the poller reads the other one.
	far     net.Conn
	seen    chan struct{}
	pending chan *nbio.Conn
}

// newBarriers returns one barrier for each poller of the engine.
//
// The engine finds the poller of a connection by its descriptor modulo the number
// of pollers, so probes are opened until every remainder has come up. The near
// end of a probe that is not needed stays open until the end: the next near end
// then gets a higher descriptor, and every remainder comes up after a bounded
// number of probes whatever descriptors are open. The only error is that no
// more descriptors are to be had.
func newBarriers(engine *nbio.Engine) ([]*barrier, error) {
	barriers := make([]*barrier, engine.NPoller)
	var unused []net.Conn
	defer func() { closeAll(unused) }()
	for missing := engine.NPoller; missing > 0; {
		near, far, err := probePair()
		if err != nil {
			closeBarriers(barriers)
			return nil, err
		}
		i := pollerOf(near, engine.NPoller)
		if barriers[i] != nil {
			_ = far.Close()
			unused = append(unused, near)
			continue
		}
		barriers[i] = newBarrier(far)
		missing--
		if err := barriers[i].watch(engine, near); err != nil {
			closeBarriers(barriers)
			return nil, err
		}
	}
	return barriers, nil
}

func closeBarriers(barriers []*barrier) {
	for _, b := range barriers {
		if b != nil {
			b.close()
		}
	}
}

func newBarrier(far net.Conn) *barrier {
	return &barrier{far: far, seen: make(chan struct{}, 1), pending: make(chan *nbio.Conn, maxBatch)}
}

// watch gives the probe's near end to its poller.
func (b *barrier) watch(engine *nbio.Engine, near *nbio.Conn) error {
	near.OnData(func(*nbio.Conn, []byte) {
		order.Load()
		b.seen <- struct{}{}
	})
	order.Add(1)
	_, err := engine.AddConn(near)
	return errors.Wrap(err, "handover: watch a probe")
}

// pass returns when the poller has done with all events that it had fetched
// before the call.
//
// The guard against events of earlier connections rests on it: a descriptor
// becomes free when its connection is closed, and nothing is fetched for it
// from then on, so that what may still be pending when a new connection has the
// descriptor was fetched before. The first byte may be read within the batch
// that is under way, if the probe has an event there; it reads one byte, and
// the second one is written after, so that it is read in a later batch.
func (b *barrier) pass() {
	for range 2 {
		if _, err := b.far.Write([]byte{0}); err != nil {
			return
		}
		<-b.seen
	}
}

// gather returns a connection and those that wait behind it.
func (b *barrier) gather(first *nbio.Conn) []*nbio.Conn {
	batch := []*nbio.Conn{first}
	for len(batch) < maxBatch {
		select {
		case c, ok := <-b.pending:
			if !ok {
				return batch
			}
			batch = append(batch, c)
		default:
			return batch
		}
	}
	return batch
}

// close ends the probe; its poller closes the other end.
func (b *barrier) close() { _ = b.far.Close() }

// probePair returns two connected ends, the near one for an engine.
func probePair() (near *nbio.Conn, far net.Conn, err error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, errors.Wrap(err, "handover: open a probe")
	}
	ends := make([]net.Conn, 0, len(fds))
	for _, fd := range fds {
		file := os.NewFile(uintptr(fd), "probe")
		end, err := net.FileConn(file)
		_ = file.Close()
		if err != nil {
			closeAll(ends)
			return nil, nil, errors.Wrap(err, "handover: open a probe")
		}
		ends = append(ends, end)
	}
	near, err = nbio.NBConn(ends[0])
	if err != nil {
		closeAll(ends)
		return nil, nil, errors.Wrap(err, "handover: open a probe")
	}
	return near, ends[1], nil
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}
