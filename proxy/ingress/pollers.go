package ingress

import (
	"net"
	"os"
	"syscall"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"
)

// pollerProbes bounds how many connections are tried for one poller.
const pollerProbes = 16

// awaitPollers returns when every poller of the engine runs its loop.
//
// It is for a server that is stopped right after its start: a poller clears its
// mark to stop when its loop begins, so that a stop which comes earlier is lost
// and the engine waits for it for ever. A byte that a poller has read is the
// proof that its loop has begun.
func (s *Server) awaitPollers() error {
	waiting := make(map[int]chan struct{}, s.engine.NPoller)
	var ends []net.Conn
	defer func() {
		for _, c := range ends {
			_ = c.Close()
		}
	}()
	for range pollerProbes * s.engine.NPoller {
		if len(waiting) == s.engine.NPoller {
			break
		}
		near, far, err := socketPair()
		if err != nil {
			return errors.Wrap(err, "ingress: probe the pollers")
		}
		// Ends stay open to the last, or the next pair would get the same
		// descriptors and meet the same poller.
		ends = append(ends, near, far)
		probe, err := nbio.NBConn(near)
		if err != nil {
			return errors.Wrap(err, "ingress: probe the pollers")
		}
		ends = append(ends, probe)
		if err := s.probe(probe, far, waiting); err != nil {
			return errors.Wrap(err, "ingress: probe the pollers")
		}
	}
	for _, begun := range waiting {
		<-begun
	}
	return nil
}

// probe sends a byte to the poller that a connection belongs to, unless that
// poller has one on its way.
func (s *Server) probe(probe *nbio.Conn, far net.Conn, waiting map[int]chan struct{}) error {
	poller := probe.Hash() % s.engine.NPoller
	if waiting[poller] != nil {
		return nil
	}
	begun := make(chan struct{}, 1)
	probe.OnData(func(*nbio.Conn, []byte) {
		s.handovers.Load()
		begun <- struct{}{}
	})
	s.handovers.Add(1)
	if _, err := s.engine.AddConn(probe); err != nil {
		return err
	}
	waiting[poller] = begun
	_, err := far.Write([]byte{0})
	return err
}

// socketPair returns two connected ends.
func socketPair() (near, far net.Conn, err error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	if near, err = fileConn(fds[0]); err != nil {
		_ = syscall.Close(fds[1])
		return nil, nil, err
	}
	if far, err = fileConn(fds[1]); err != nil {
		_ = near.Close()
		return nil, nil, err
	}
	return near, far, nil
}

// fileConn takes over a descriptor.
func fileConn(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "probe")
	defer file.Close()
	return net.FileConn(file)
}
