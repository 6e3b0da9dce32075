// Command refused shows what becomes of requests that may run once only while servers reject a part of their requests
// and send some answers twice.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
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

// Figures of vliesbuch. The rates lie in the upper part of the sheet's wave, which goes up to 1.55 times the mean.
// Work is that of a server that knows the object.
const (
	confirmsPerS = 1.4 * 64.6
	confirmWork  = 192 * time.Millisecond
	confirmLimit = 3000
	lookupsPerS  = 1.4 * 149.0
	lookupWork   = 144 * time.Millisecond
	lookupLimit  = 2500
	answerLength = 1500
	confirmPath  = "/nozi721/"
	lookupPath   = "/kati510/"
	host         = "goka77.example"
	service      = "termindienst"
	slots        = 4
	directoryTTL = 2 * time.Second
)

// Doses of the disruptions, within those of srv_grey (shed all) and of garble (extra late) in the site file.
const (
	rejectedShare = 0.4
	rejectTime    = 8500 * time.Millisecond
	faultyServers = 0.6
	twiceShare    = 0.03
	// twiceTime is shorter than the time between two rejections: they come twice in it.
	twiceTime = 2 * 5 * time.Second
	times     = 10
	every     = 10 * time.Second
	firstAt   = 3 * time.Second
	lastsFor  = times*every + firstAt
)

var zones = [][2]string{
	{"tirol-inn", "tirol"}, {"stmk-mur", "steiermark"}, {"sbg-pinz", "salzburg"}, {"tirol-lech", "tirol"}, {"stmk-enns", "steiermark"}, {"sbg-pong", "salzburg"},
}

// perZone are the servers in each zone.
var perZone = []int{5, 1, 4, 5, 1, 4}

func config() map[string]any {
	columns := []string{"name", "host", "prefix", "kind", "timeout_s", "target_latency_s", "priority", "service", "max_attempts", "sticky", "allowed_regions", "traffic_split"}
	return map[string]any{
		"version": 7,
		"routes": map[string]any{"columns": columns, "rows": [][]any{
			{"r-confirm", host, confirmPath, "non_idempotent", 1.0, 0.4, 1, service, 2, true, []string{}, nil},
			{"r-lookup", host, lookupPath, "safe", 0.8, 0.3, 2, service, 2, true, []string{}, nil},
		}},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_connections", "protocol", "tls", "cold_start_s", "cold_per_s"},
			"rows":    [][]any{{service, "/health", 360, "h1", false, 3.0, 5.5}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
}

type world struct {
	record  *lib.Record
	vms     []*lib.VM
	servers []*lib.Server
	trouble bool
	began   time.Time

	mu       sync.Mutex
	named    []string
	statuses map[string]map[int]int
	// confirms are the answers to requests that may run once, by their ids.
	confirms map[string]*lib.Answer
}

func main() {
	program := flag.String("program", "target/yuccaentry", "the built program")
	template := flag.String("template", "deploy/settings.ini", "the template of its settings")
	out := flag.String("record", "record.txt", "the record to write")
	flag.Parse()
	os.Exit(run(*program, *template, *out, os.Getenv("TROUBLE") != "0"))
}

// run returns 1 if a rule was broken, 0 if they held, and 2 if the case could not run.
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
	w := &world{
		record: record, trouble: trouble, confirms: make(map[string]*lib.Answer),
		statuses: map[string]map[int]int{"confirm": {}, "lookup": {}},
	}
	defer w.stop()
	if err := w.start(program, template, dir); err != nil {
		record.Write("cannot start: %v", err)
		return 2
	}
	w.play()
	return w.judge()
}

func (w *world) start(program, template, dir string) error {
	store, err := lib.NewStore("127.0.0.1")
	if err != nil {
		return err
	}
	store.Put("op/config", config())
	w.began = time.Now().Add(time.Hour)
	all, n := 0, 0
	for _, count := range perZone {
		all += count
	}
	for z, count := range perZone {
		for i := range count {
			id := fmt.Sprintf("i-%s-%d", zones[z][0], i)
			faulty := float64(n%10) < 10*faultyServers && n < all
			n++
			s, err := lib.NewServer("127.0.0.1", id, service, zones[z][0], slots, store, w.record, func(r *http.Request) lib.Job { return w.job(r, faulty) })
			if err != nil {
				return err
			}
			w.servers = append(w.servers, s)
		}
	}
	site := &lib.Site{Zones: zones, Store: store.Address, Program: program, Template: template, Dir: dir, Values: map[string]string{
		"limits.memory_mb": "284", "limits.max_fds": "4100", "limits.cpu_share": "0.32", "limits.link_mbps": "1000.0", "platform.min_ttl_s": "1",
		"bounds.drain_s": "2", "bounds.grace_s": "6", "bounds.contact_s": "3", "bounds.evacuation_s": "5", "bounds.config_apply_s": "2",
		"bounds.ttl_max_s": "5", "bounds.retry_budget_ratio": "0.2", "bounds.budget_window_s": "10", "bounds.budget_extra": "60",
		"bounds.cold_overshoot": "1.5", "bounds.cold_slack": "5", "bounds.max_shift": "0.15",
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

// job returns what a server does with a request at this time.
func (w *world) job(r *http.Request, faulty bool) lib.Job {
	j := lib.Job{Work: time.Duration((0.85 + 0.3*rand.Float64()) * float64(lookupWork)), Answer: answerLength}
	if strings.HasPrefix(r.URL.Path, confirmPath) {
		j.Work = time.Duration((0.85 + 0.3*rand.Float64()) * float64(confirmWork))
	}
	at := time.Since(w.began) - firstAt
	if !w.trouble || at < 0 {
		return j
	}
	j.Shed = at%every < rejectTime && rand.Float64() < rejectedShare
	j.Extra = at%every < twiceTime && faulty && rand.Float64() < twiceShare
	j.ExtraDelay = 5*time.Millisecond + rand.N(45*time.Millisecond)
	return j
}

// play sends requests at the rates of the sheet.
func (w *world) play() {
	time.Sleep(4 * time.Second)
	w.began = time.Now()
	w.resolve()
	go func() {
		for time.Since(w.began) < lastsFor {
			time.Sleep(directoryTTL)
			w.resolve()
		}
	}()
	var sent sync.WaitGroup
	for n := 0; time.Since(w.began) < lastsFor; n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / (confirmsPerS + lookupsPerS) * float64(time.Second)))
		if rand.Float64() < confirmsPerS/(confirmsPerS+lookupsPerS) {
			sent.Go(func() { w.send("confirm", "POST", confirmPath, fmt.Sprintf("c%05d", n), 24, confirmLimit) })
		} else {
			sent.Go(func() { w.send("lookup", "GET", lookupPath, fmt.Sprintf("l%05d", n), 37, lookupLimit) })
		}
	}
	sent.Wait()
	time.Sleep(2 * time.Second)
}

// resolve asks the directory of each machine for the machines of its zone.
func (w *world) resolve() {
	client := http.Client{Timeout: time.Second}
	var named []string
	for _, v := range w.vms {
		r, err := client.Get("http://" + v.Directory + "/-/resolve?name=" + host + "&region=" + v.Region + "&zone=" + v.Zone)
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(r.Body)
		r.Body.Close()
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		if r.StatusCode == http.StatusOK && json.Unmarshal(text, &answer) == nil {
			named = append(named, answer.Addresses...)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(named) > 0 {
		w.named = named
	}
}

// send sends one request with an id of its own.
func (w *world) send(kind, method, path, id string, objects, limit int) {
	w.mu.Lock()
	if len(w.named) == 0 {
		w.mu.Unlock()
		return
	}
	entry := w.named[rand.IntN(len(w.named))]
	w.mu.Unlock()
	conn, err := net.DialTimeout("tcp4", entry, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Duration(limit)*time.Millisecond + time.Second))
	body := ""
	if method == "POST" {
		body = string(lib.Body(id, 600))
	}
	object := rand.IntN(objects)
	w.record.Write("client sends %s (%s of object %d) to %s", id, kind, object, entry)
	_, err = fmt.Fprintf(conn, "%s %s%d/%s HTTP/1.1\r\nHost: %s\r\nYuccaroute-Request-Id: %s\r\nYuccaroute-Affinity-Key: %d\r\nYuccaroute-Request-Deadline: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, object, id, host, id, object, limit, len(body), body)
	if err != nil {
		return
	}
	a := lib.ReadAnswer(bufio.NewReader(conn), func(*lib.Answer) {})
	w.record.Write("client got for %s: %d, stamp %q, body %d of %d bytes, %v", id, a.Status, a.Stamp, len(a.Got), a.Length, a.Err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.statuses[kind][a.Status]++
	if kind == "confirm" {
		w.confirms[id] = a
	}
}

// judge applies TWICE and REFUSED to the requests that may run once.
func (w *world) judge() int {
	twice, refused := 0, 0
	for id, a := range w.confirms {
		var runs []lib.Run
		for _, s := range w.servers {
			runs = append(runs, s.RunsOf(id)...)
		}
		if len(runs) > 1 {
			twice++
			w.record.Write("TWICE: %s ran %d times, the client got %d", id, len(runs), a.Status)
		}
		if len(runs) > 0 && (a.Status == 503 || a.Status == 429 || a.Status == 408 || a.Status == 421) {
			refused++
			w.record.Write("REFUSED: %s ran %d times, the client got %d", id, len(runs), a.Status)
		}
	}
	summary := fmt.Sprintf("%d requests that may run once (answers %v), %d others (answers %v): TWICE %d, REFUSED %d",
		len(w.confirms), w.statuses["confirm"], w.statuses["lookup"][200], w.statuses["lookup"], twice, refused)
	w.record.Write("%s", summary)
	fmt.Println(filepath.Base(os.Args[0])+":", summary)
	switch {
	case w.statuses["confirm"][200] < len(w.confirms)/3 || len(w.confirms) == 0:
		return 2
	case twice+refused > 0:
		return 1
	}
	return 0
}
