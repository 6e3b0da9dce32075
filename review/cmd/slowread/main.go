// Command slowread shows what becomes of uploads whose servers read them slowly when the machine that carries them
// is stopped as planned.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"yuccareview/lib"
)

// Figures of dphbd-route-large, at a small part of its size.
const (
	grace        = 10 * time.Second
	uploadWork   = 1296 * time.Millisecond
	uploadLimit  = 5 * time.Second
	uploadLeast  = 150000
	uploadMost   = 360000
	answerLength = 400
	uploadsPerS  = 6.0
	clients      = 40
	stopsInAll   = 8
	stopEvery    = 7 * time.Second
	directoryTTL = 2 * time.Second
	// busyTime is how long a server has been at work on a request when its machine is stopped.
	busyTime = 200 * time.Millisecond
	slots    = 3
	service  = "warehouse-docs"
	host     = "goka77.example"
)

var zones = [][2]string{
	{"sel-guro", "kr-seoul"}, {"pus-gangseo", "kr-busan"}, {"dj-yuseong", "kr-daejeon"}, {"sel-mapo", "kr-seoul"}, {"pus-haeundae", "kr-busan"}, {"dj-daedeok", "kr-daejeon"},
}

// serversPerZone is the number of servers in each zone.
const serversPerZone = 2

func config() map[string]any {
	columns := []string{"name", "host", "prefix", "kind", "timeout_s", "target_latency_s", "priority", "service", "max_attempts", "sticky", "allowed_regions", "traffic_split"}
	return map[string]any{
		"version": 7,
		"routes": map[string]any{"columns": columns, "rows": [][]any{
			{"r-upload", host, "/nozi721/", "upload", uploadLimit.Seconds(), 0.8, 1, service, 2, true, []string{}, nil},
		}},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_connections", "protocol", "tls", "cold_start_s", "cold_per_s"},
			"rows":    [][]any{{service, "/health", 330, "h1", false, 3.0, 1.9}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
}

// upload is a request as its client saw it. sent is when its last byte was written.
type upload struct {
	id      string
	vm      *lib.VM
	length  int
	sent    time.Time
	ended   time.Time
	answer  *lib.Answer
	written bool
}

type world struct {
	record  *lib.Record
	vms     []*lib.VM
	servers []*lib.Server
	until   time.Time

	// begun has the requests on which servers have begun to work.
	begun chan string

	mu      sync.Mutex
	uploads []*upload
	// sentTo is the machine that each request was sent to.
	sentTo map[string]*lib.VM
}

func main() {
	program := flag.String("program", "target/yuccaentry", "the built program")
	template := flag.String("template", "deploy/settings.ini", "the template of its settings")
	out := flag.String("record", "record.txt", "the record to write")
	flag.Parse()
	os.Exit(run(*program, *template, *out, os.Getenv("TROUBLE") != "0"))
}

// run returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func run(program, template, out string, trouble bool) int {
	record, err := lib.NewRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		record.Write("no temporary folder: %v", err)
		return 2
	}
	defer os.RemoveAll(dir)
	w := &world{record: record, begun: make(chan string, 1024), sentTo: make(map[string]*lib.VM)}
	defer w.stop()
	if err := w.start(program, template, dir); err != nil {
		record.Write("cannot start: %v", err)
		return 2
	}
	return w.judge(w.play(trouble))
}

// job returns the work of an upload: that of the sheet, within its spread. The server begins to work on the head of
// the request and reads its body last.
func (w *world) job(r *http.Request) lib.Job {
	select {
	case w.begun <- r.Header.Get("Yuccaroute-Request-Id"):
	default:
	}
	return lib.Job{Work: time.Duration((0.85 + 0.3*rand.Float64()) * float64(uploadWork)), Answer: answerLength, ReadLate: true}
}

func (w *world) start(program, template, dir string) error {
	store, err := lib.NewStore("127.0.0.1")
	if err != nil {
		return err
	}
	store.Put("op/config", config())
	for _, zone := range zones {
		for i := range serversPerZone {
			s, err := lib.NewServer("127.0.0.1", fmt.Sprintf("i-%s-%d", zone[0], i), service, zone[0], slots, store, w.record, w.job)
			if err != nil {
				return err
			}
			w.servers = append(w.servers, s)
		}
	}
	site := &lib.Site{Zones: zones, Store: store.Address, Program: program, Template: template, Dir: dir, Values: map[string]string{
		"limits.memory_mb": "284", "limits.max_fds": "4100", "limits.cpu_share": "0.32", "limits.link_mbps": "1000.0", "platform.min_ttl_s": "1",
		"bounds.drain_s": "4", "bounds.grace_s": "10", "bounds.contact_s": "5", "bounds.evacuation_s": "5", "bounds.config_apply_s": "4",
		"bounds.ttl_max_s": "5", "bounds.retry_budget_ratio": "0.2", "bounds.budget_window_s": "10", "bounds.budget_extra": "56",
		"bounds.cold_overshoot": "1.5", "bounds.cold_slack": "10", "bounds.max_shift": "0.15",
	}}
	for n, zone := range zones {
		v, err := site.NewVM(n, zone)
		if err != nil {
			return err
		}
		w.vms = append(w.vms, v)
		if err := v.Start(); err != nil {
			return err
		}
	}
	for _, v := range w.vms {
		if !v.AwaitReady(10 * time.Second) {
			return fmt.Errorf("%s is not ready", v.Name)
		}
	}
	return nil
}

func (w *world) stop() {
	for _, v := range w.vms {
		v.Kill()
	}
}

// planned is a planned stop of a machine.
type planned struct {
	vm    *lib.VM
	began time.Time
}

func (w *world) play(trouble bool) (stops []planned) {
	time.Sleep(4 * time.Second)
	w.until = time.Now().Add(stopsInAll*stopEvery + 4*time.Second)
	var clientsDone sync.WaitGroup
	for n := range clients {
		clientsDone.Go(func() { w.client(n) })
	}
	time.Sleep(2 * time.Second)
	for i := range stopsInAll {
		next := time.Now().Add(stopEvery)
		if trouble {
			v := w.vms[i%len(w.vms)]
			w.awaitBusy(v, time.After(stopEvery/3))
			w.record.Write("SIGTERM to %s", v.Name)
			stops = append(stops, planned{v, time.Now()})
			v.Stop(grace)
			w.record.Write("%s has ended, it starts again", v.Name)
			if err := v.Start(); err != nil {
				w.record.Write("cannot start %s again: %v", v.Name, err)
			}
		}
		time.Sleep(time.Until(next))
	}
	clientsDone.Wait()
	return stops
}

// awaitBusy waits until a server has been at work for a while on an upload that a machine has sent to it.
func (w *world) awaitBusy(v *lib.VM, limit <-chan time.Time) {
	for {
		select {
		case id := <-w.begun:
			w.mu.Lock()
			by := w.sentTo[id]
			w.mu.Unlock()
			if by == v && len(w.begun) == 0 {
				w.record.Write("a server is at work on %s, which %s carries", id, v.Name)
				time.Sleep(busyTime)
				return
			}
		case <-limit:
			return
		}
	}
}

// client sends one upload after the other, each on a connection of its own, to a machine that the directory names.
func (w *world) client(n int) {
	var v *lib.VM
	var askedAt time.Time
	for i := 0; ; i++ {
		time.Sleep(time.Duration(rand.ExpFloat64() * clients / uploadsPerS * float64(time.Second)))
		if !time.Now().Before(w.until) {
			return
		}
		if v == nil || time.Since(askedAt) > directoryTTL {
			v, askedAt = w.choose(n), time.Now()
		}
		if v != nil && !w.send(v, fmt.Sprintf("u%02d-%04d", n, i)) {
			v = nil
		}
	}
}

// choose asks the directory of a machine which address to use.
func (w *world) choose(n int) *lib.VM {
	client := http.Client{Timeout: time.Second}
	for try := range 3 {
		v := w.vms[(n+try)%len(w.vms)]
		r, err := client.Get("http://" + v.Directory + "/-/resolve?name=" + host + "&region=" + v.Region + "&zone=" + v.Zone)
		if err != nil {
			continue
		}
		text := new(strings.Builder)
		_ = r.Write(text)
		r.Body.Close()
		if r.StatusCode != http.StatusOK {
			continue
		}
		for _, named := range w.vms {
			if strings.Contains(text.String(), `"`+named.Entry+`"`) {
				return named
			}
		}
	}
	return nil
}

// send reports whether the machine answered.
func (w *world) send(v *lib.VM, id string) bool {
	u := &upload{id: id, vm: v, length: uploadLeast + rand.IntN(uploadMost-uploadLeast)}
	conn, err := net.DialTimeout("tcp4", v.Entry, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(uploadLimit + time.Second))
	w.mu.Lock()
	w.sentTo[id] = v
	w.mu.Unlock()
	w.record.Write("client sends %s (upload of %d bytes) to %s", id, u.length, v.Name)
	head := fmt.Sprintf("POST /nozi721/%s HTTP/1.1\r\nHost: %s\r\nYuccaroute-Request-Id: %s\r\nYuccaroute-Affinity-Key: %d\r\nYuccaroute-Request-Deadline: %d\r\nContent-Length: %d\r\n\r\n",
		id, host, id, rand.IntN(1e6), uploadLimit.Milliseconds(), u.length)
	_, err = conn.Write(append([]byte(head), lib.Body(id, u.length)...))
	u.written, u.sent = err == nil, time.Now()
	u.answer = lib.ReadAnswer(bufio.NewReader(conn), func(*lib.Answer) {})
	u.ended = time.Now()
	w.record.Write("client got for %s from %s after %d ms: %d, stamp %q, body %d of %d bytes, %v", id, v.Name,
		u.ended.Sub(u.sent).Milliseconds(), u.answer.Status, u.answer.Stamp, len(u.answer.Got), u.answer.Length, u.answer.Err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.uploads = append(w.uploads, u)
	return u.answer.Complete()
}

// judge applies LOST: after the SIGTERM of the machine that took the request, that machine broke off a request at
// which its server was at work and gave an answer of its own, or none.
func (w *world) judge(stops []planned) int {
	answered, refused, broken, lost := 0, 0, 0, 0
	for _, u := range w.uploads {
		a := u.answer
		switch {
		case a.Complete() && a.Stamp != "":
			answered++
			continue
		case a.Complete() && (a.Status == 503 || a.Status == 429):
			refused++
			continue
		}
		run, ran := w.runOf(u.id)
		atWork := ran && run.Began.Before(u.ended) && (run.Ended.IsZero() || run.Ended.After(u.ended))
		inTime := u.ended.Sub(u.sent) < uploadLimit-300*time.Millisecond
		stop, around := w.stopOf(u, stops)
		if atWork && inTime {
			broken++
		}
		isLost := u.written && atWork && inTime && around && u.ended.Sub(stop.began) < grace*5/6
		if isLost {
			lost++
		}
		w.record.Write("NOT ANSWERED: %s of %d bytes by %s: status %d, stamp %q, %v, after %d ms of %d; server %s at work: %v (work ended after %d ms, %s); after SIGTERM: %v; LOST: %v",
			u.id, u.length, u.vm.Name, a.Status, a.Stamp, a.Err, u.ended.Sub(u.sent).Milliseconds(), uploadLimit.Milliseconds(), run.Server, atWork,
			run.Ended.Sub(run.Began).Milliseconds(), run.Problem, around, isLost)
	}
	summary := fmt.Sprintf("%d uploads: %d answered by servers, %d refused as not run; %d broken off while their server was at work, %d of them after a SIGTERM (lost); %d SIGTERMs",
		len(w.uploads), answered, refused, broken, lost, len(stops))
	w.record.Write("%s", summary)
	fmt.Println(filepath.Base(os.Args[0])+":", summary)
	switch {
	case answered == 0:
		return 2
	case lost > 0:
		return 1
	}
	return 0
}

// stopOf returns the stop of the machine after which an upload ended that was unanswered then or sent later.
func (w *world) stopOf(u *upload, stops []planned) (planned, bool) {
	for _, s := range stops {
		if s.vm == u.vm && u.ended.After(s.began) && u.sent.Before(s.began.Add(grace+time.Second)) {
			return s, true
		}
	}
	return planned{}, false
}

func (w *world) runOf(id string) (lib.Run, bool) {
	for _, s := range w.servers {
		for _, r := range s.RunsOf(id) {
			return r, true
		}
	}
	return lib.Run{}, false
}
