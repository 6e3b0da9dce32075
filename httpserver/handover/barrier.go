package handover

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"
)

// handoverSync makes the initialization of a probe visible to its poller. The engine
// passes connections through the kernel only, which establishes no happens-before
// relation in the Go memory model.
var handoverSync atomic.Uint64

// Messages of a barrier to its poller.
const (
	messageConfirm byte = iota
	messageHold
)

// barrier waits until a poller has processed the events it has already fetched, and
// holds the poller while the engine stops. Its probe is a socket pair whose read end is
// registered with the poller.
type barrier struct {
	writeEnd net.Conn
	// processed receives a value for each message that the poller reads.
	processed chan struct{}
	// released is closed when a held poller may go on.
	released chan struct{}
	pending  chan *nbio.Conn
}

// newBarriers returns one barrier for each poller of the engine. The engine assigns
// a connection by its descriptor modulo the number of pollers, so probes are created
// until every poller has one. Spare read ends stay open meanwhile, so that each probe
// gets a new descriptor and the loop terminates.
func newBarriers(engine *nbio.Engine) ([]*barrier, error) {
	barriers := make([]*barrier, engine.NPoller)
	var spareReadEnds []net.Conn
	defer func() { closeAll(spareReadEnds) }()
	for missing := engine.NPoller; missing > 0; {
		readEnd, writeEnd, err := newProbePair()
		if err != nil {
			closeBarriers(barriers)
			return nil, err
		}
		i := pollerOf(readEnd, engine.NPoller)
		if barriers[i] != nil {
			_ = writeEnd.Close()
			spareReadEnds = append(spareReadEnds, readEnd)
			continue
		}
		barriers[i] = newBarrier(writeEnd)
		missing--
		if err := barriers[i].register(engine, readEnd); err != nil {
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

func newBarrier(writeEnd net.Conn) *barrier {
	return &barrier{
		writeEnd:  writeEnd,
		processed: make(chan struct{}, 1),
		released:  make(chan struct{}),
		pending:   make(chan *nbio.Conn, maxBatch),
	}
}

// register adds the probe's read end to its poller.
func (b *barrier) register(engine *nbio.Engine, readEnd *nbio.Conn) error {
	readEnd.OnData(func(_ *nbio.Conn, data []byte) {
		handoverSync.Load()
		b.processed <- struct{}{}
		if data[0] == messageHold {
			<-b.released
		}
	})
	handoverSync.Add(1)
	_, err := engine.AddConn(readEnd)
	return errors.Wrap(err, "handover: register probe with poller")
}

// wait returns when the poller has processed all events that it fetched before the
// call. It sends two messages, one after the other: the poller may read the first one
// within the current batch, but reads the second one in a later batch.
func (b *barrier) wait() {
	for range 2 {
		b.send(messageConfirm)
	}
}

// hold returns when the poller waits for release. The poller processes no events
// meanwhile.
func (b *barrier) hold() { b.send(messageHold) }

// release lets a held poller go on.
func (b *barrier) release() { close(b.released) }

// send returns when the poller has read the message. One message is under way at a
// time.
func (b *barrier) send(message byte) {
	if _, err := b.writeEnd.Write([]byte{message}); err != nil {
		return
	}
	<-b.processed
}

// collectBatch returns first and the connections pending after it, up to maxBatch.
func (b *barrier) collectBatch(first *nbio.Conn) []*nbio.Conn {
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

// close closes the write end; the poller or the engine's stop closes the read end.
func (b *barrier) close() { _ = b.writeEnd.Close() }

// newProbePair returns a connected socket pair whose read end can be added to an
// engine.
func newProbePair() (readEnd *nbio.Conn, writeEnd net.Conn, err error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, errors.Wrap(err, "handover: create probe socket pair")
	}
	ends := make([]net.Conn, 0, len(fds))
	for _, fd := range fds {
		file := os.NewFile(uintptr(fd), "probe")
		end, err := net.FileConn(file)
		_ = file.Close()
		if err != nil {
			closeAll(ends)
			return nil, nil, errors.Wrap(err, "handover: create probe socket pair")
		}
		ends = append(ends, end)
	}
	readEnd, err = nbio.NBConn(ends[0])
	if err != nil {
		closeAll(ends)
		return nil, nil, errors.Wrap(err, "handover: create probe socket pair")
	}
	return readEnd, ends[1], nil
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}
