package lib

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Job is what a server is to do for a request.
type Job struct {
	Work time.Duration
	// Answer is the length of the answer's body.
	Answer int
	// ReadLate is set if the server reads the request's body when its work is done.
	ReadLate bool
	// Shed is set if the server rejects the request without running it.
	Shed bool
	// Extra is set if the server also sends its answer a second time, ExtraDelay after the first.
	Extra      bool
	ExtraDelay time.Duration
}

// Run is a request that a server began to work on. Began and Ended are from the record's start.
type Run struct {
	Server, ID string
	Began      time.Time
	Ended      time.Time
	// Body is the length of the request's body, Answered is set if the whole answer was written.
	Body     int
	Answered bool
	Problem  string
}

// Server is a stand-in of a sound server.
type Server struct {
	ID, Service, Zone, Address string
	Slots                      int
	record                     *Record
	job                        func(r *http.Request) Job
	slots                      chan struct{}
	waiting                    atomic.Int64

	mu   sync.Mutex
	runs map[string][]*Run
}

// NewServer serves on a free port of an address until the process ends, and registers in the store.
func NewServer(ip, id, service, zone string, slots int, store *Store, record *Record, job func(r *http.Request) Job) (*Server, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		ID: id, Service: service, Zone: zone, Address: l.Addr().String(), Slots: slots, record: record, job: job,
		slots: make(chan struct{}, slots), runs: make(map[string][]*Run),
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	go func() {
		for sequence := 1; ; sequence++ {
			store.Put("servers/"+id, map[string]any{
				"service": service, "address": s.Address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
				"cold_remaining_s": 0, "sequence": sequence,
			})
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	return s, nil
}

// RunsOf returns the runs of a request here.
func (s *Server) RunsOf(id string) []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Run
	for _, r := range s.runs[id] {
		all = append(all, *r)
	}
	return all
}

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil || !s.handle(c, r) {
			return
		}
	}
}

const queueLimit = 12

// handle reports whether the connection stays open.
func (s *Server) handle(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Yuccaroute-Request-Id")
	if expected := r.Header.Get("Yuccaroute-Expected-Instance"); expected != "" && expected != s.ID {
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil && s.write(c, id, 421, "Yuccaroute-Instance-Id: "+s.ID+"\r\nYuccaroute-Not-Executed: 1\r\n", 0)
	}
	if r.URL.Path == "/health" {
		return s.write(c, id, 200, "Yuccaroute-Instance-Id: "+s.ID+"\r\n", 0)
	}
	if s.waiting.Add(1) > queueLimit {
		s.waiting.Add(-1)
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil && s.write(c, id, 503, "Yuccaroute-Not-Executed: 1\r\n", 0)
	}
	job := s.job(r)
	if job.Shed {
		s.waiting.Add(-1)
		_, err := io.Copy(io.Discard, r.Body)
		s.record.Write("server %s rejects %s on the connection from %s as not run", s.ID, id, c.RemoteAddr())
		return err == nil && s.answer(c, id, 503, "Yuccaroute-Not-Executed: 1\r\n", 0, job)
	}
	s.slots <- struct{}{}
	s.waiting.Add(-1)
	defer func() { <-s.slots }()
	return s.run(c, r, id, job)
}

func (s *Server) run(c net.Conn, r *http.Request, id string, job Job) bool {
	run := &Run{Server: s.ID, ID: id, Began: time.Now()}
	s.mu.Lock()
	s.runs[id] = append(s.runs[id], run)
	s.mu.Unlock()
	s.record.Write("server %s begins to work on %s %s %s, length %d, connection from %s", s.ID, id, r.Method, r.URL.Path, r.ContentLength, c.RemoteAddr())
	var body int64
	var err error
	if !job.ReadLate {
		body, err = io.Copy(io.Discard, r.Body)
	}
	time.Sleep(time.Until(run.Began.Add(job.Work)))
	if job.ReadLate {
		body, err = io.Copy(io.Discard, r.Body)
	}
	ok := err == nil && s.answer(c, id, 200, "Yuccaroute-Server-Stamp: "+s.ID+"."+id+"\r\n", job.Answer, job)
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Ended, run.Body, run.Answered = time.Now(), int(body), ok
	if err != nil {
		run.Problem = err.Error()
	}
	s.record.Write("server %s ends work on %s: body read %d of %d, answered %v %s", s.ID, id, body, r.ContentLength, ok, run.Problem)
	return ok
}

// answer writes an answer, and a second time later if the job says so.
func (s *Server) answer(c net.Conn, id string, status int, fields string, length int, job Job) bool {
	ok := s.write(c, id, status, fields, length)
	if ok && job.Extra {
		time.AfterFunc(job.ExtraDelay, func() {
			s.record.Write("server %s sends its answer %d to %s a second time, to %s", s.ID, status, id, c.RemoteAddr())
			s.write(c, id, status, fields, length)
		})
	}
	return ok
}

func (s *Server) write(c net.Conn, id string, status int, fields string, length int) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nYuccaroute-Request-Id: %s\r\n%sYuccaroute-Server-Load: %d,%d,%d\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), id, fields, len(s.slots), s.waiting.Load(), s.Slots, length)
	_, err := c.Write(append([]byte(head), Body(id, length)...))
	return err == nil
}

// Body returns the body of the answer to a request.
func Body(id string, length int) []byte {
	if length == 0 {
		return nil
	}
	return bytes.Repeat([]byte(id+"\n"), length/(len(id)+1)+1)[:length]
}

// Answer is an answer as a client got it.
type Answer struct {
	Status int
	ID     string
	Stamp  string
	// Close is set if the answer closes the connection.
	Close  bool
	Length int
	Got    []byte
	Err    error
}

// Complete reports whether the answer is whole.
func (a *Answer) Complete() bool { return a.Err == nil && len(a.Got) == a.Length }

// ReadAnswer reads an answer with a length. headRead is called when its head has been read.
func ReadAnswer(in *bufio.Reader, headRead func(a *Answer)) *Answer {
	a := &Answer{Length: -1}
	line, err := in.ReadString('\n')
	if err != nil {
		a.Err = err
		return a
	}
	fields := strings.Fields(line)
	if len(fields) < 2 {
		a.Err = fmt.Errorf("status line %q", line)
		return a
	}
	a.Status, _ = strconv.Atoi(fields[1])
	for {
		line, err = in.ReadString('\n')
		if err != nil {
			a.Err = err
			return a
		}
		name, value, found := strings.Cut(strings.TrimSpace(line), ":")
		if !found {
			break
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			a.Length, _ = strconv.Atoi(value)
		case "connection":
			a.Close = strings.EqualFold(value, "close")
		case "yuccaroute-request-id":
			a.ID = value
		case "yuccaroute-server-stamp":
			a.Stamp = value
		}
	}
	headRead(a)
	if a.Length < 0 {
		a.Err = fmt.Errorf("no length")
		return a
	}
	a.Got = make([]byte, a.Length)
	n, err := io.ReadFull(in, a.Got)
	a.Got, a.Err = a.Got[:n], err
	return a
}
