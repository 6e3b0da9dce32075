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

// pollerProbe is the session of a connection that only proves that its poller
// runs.
type pollerProbe struct {
	// begun holds an element when the poller has read a byte.
	begun chan struct{}
	// closed is closed by the poller when it closes the connection.
	closed chan struct{}
	// far is the other end.
	far net.Conn
}

// awaitPollers returns when every poller of the engine runs its loop.
//
// It is for a server that is stopped right after its start: a poller clears its
// mark to stop when its loop begins, so that a stop which comes earlier is lost
// and the engine waits for it for ever. A byte that a poller has read is the
// proof that its loop has begun.
//
// The pollers close the probes themselves, and nothing is accepted before. If
// they were closed here, a poller could apply the event of a probe's end to the
// first caller's connection, which gets the same descriptor: the caller would
// see its connection closed without an answer.
func (s *Server) awaitPollers() error {
	probes := make(map[int]*pollerProbe, s.engine.NPoller)
	defer closeProbes(probes)
	var unused []net.Conn
	defer func() {
		for _, c := range unused {
			_ = c.Close()
		}
	}()
	for range pollerProbes * s.engine.NPoller {
		if len(probes) == s.engine.NPoller {
			break
		}
		near, far, err := socketPair()
		if err != nil {
			return errors.Wrap(err, "ingress: probe the pollers")
		}
		probe, err := nbio.NBConn(near)
		if err != nil {
			_ = near.Close()
			_ = far.Close()
			return errors.Wrap(err, "ingress: probe the pollers")
		}
		poller := probe.Hash() % s.engine.NPoller
		if probes[poller] != nil {
			// It stays open to the last, or the next pair would get the same
			// descriptors and meet the same poller.
			unused = append(unused, probe, far)
			continue
		}
		p, err := s.probe(probe, far)
		if err != nil {
			_ = far.Close()
			return errors.Wrap(err, "ingress: probe the pollers")
		}
		probes[poller] = p
	}
	for _, p := range probes {
		<-p.begun
	}
	return nil
}

// probe sends a byte to the poller that a connection belongs to.
func (s *Server) probe(conn *nbio.Conn, far net.Conn) (*pollerProbe, error) {
	p := &pollerProbe{begun: make(chan struct{}, 1), closed: make(chan struct{}), far: far}
	conn.SetSession(p)
	conn.OnData(func(*nbio.Conn, []byte) {
		s.handovers.Load()
		p.begun <- struct{}{}
	})
	s.handovers.Add(1)
	if _, err := s.engine.AddConn(conn); err != nil {
		return nil, err
	}
	_, err := far.Write([]byte{0})
	return p, err
}

// closeProbes closes the far ends and waits until the pollers have closed the
// near ones.
func closeProbes(probes map[int]*pollerProbe) {
	for _, p := range probes {
		_ = p.far.Close()
	}
	for _, p := range probes {
		<-p.closed
	}
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
