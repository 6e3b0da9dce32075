package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// proxy passes connections on. An open connection can be made silent for good: its bytes are dropped in both
// directions, and neither side gets a reset or an end. New connections work.
type proxy struct {
	address, to string
	listener    net.Listener

	mu    sync.Mutex
	links map[*link]bool
}

type link struct {
	from, to net.Conn
	silent   bool
	// watchedAt is when the last watch was passed on.
	watchedAt time.Time
}

func startProxy(address, to string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), to: to, listener: l, links: make(map[*link]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		_ = l.from.Close()
		_ = l.to.Close()
	}
}

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = from.Close()
			continue
		}
		l := &link{from: from, to: to}
		p.mu.Lock()
		p.links[l] = true
		p.mu.Unlock()
		go p.copy(l, from, to, true)
		go p.copy(l, to, from, false)
	}
}

func (p *proxy) copy(l *link, from, to net.Conn, isRequest bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		silent := l.silent
		if isRequest && bytes.HasPrefix(buffer[:n], []byte("GET /-/kv-watch")) {
			l.watchedAt = time.Now()
		}
		p.mu.Unlock()
		if silent {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			p.mu.Lock()
			delete(p.links, l)
			p.mu.Unlock()
			return
		}
	}
}

// silenceWatches makes the connections silent over which a watch was passed on since a time, and returns how many.
func (p *proxy) silenceWatches(since time.Time) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		if l.watchedAt.After(since) && !l.silent {
			l.silent = true
			n++
		}
	}
	return n
}
