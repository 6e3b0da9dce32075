// Command case plays one case of the review: it starts entry VMs as separate processes, with stand-ins of the
// platform's store, of servers and of clients in this process, and judges a rule by what these have seen.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var started = time.Now()

// since returns the time since the start of the case.
func since() time.Duration { return time.Since(started) }

// world is what all cases have.
type world struct {
	root    string
	trouble bool
	fleet   *fleet
	store   *store
	runs    *runs
	calls   *calls
	noteMu  sync.Mutex
	record  *bufio.Writer
	targets []*target
}

func (w *world) note(format string, a ...any) {
	w.noteMu.Lock()
	defer w.noteMu.Unlock()
	line := fmt.Sprintf("%8.3f ", since().Seconds()) + fmt.Sprintf(format, a...)
	fmt.Println(line)
	fmt.Fprintln(w.record, line)
}

var errUsage = errors.New("usage: case NAME RECORD, in the repository's root")

// cases return whether the rule was broken.
var cases = map[string]func(*world) (bool, error){}

func main() {
	code, err := play()
	if err != nil {
		fmt.Fprintln(os.Stderr, "case:", err)
	}
	os.Exit(code)
}

func play() (int, error) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		return exitNotRun, errUsage
	}
	root, err := os.Getwd()
	if err != nil {
		return exitNotRun, err
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		return exitNotRun, err
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return exitNotRun, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", filepath.Join(dir, "*.log"))
	}
	port, err := freePort()
	if err != nil {
		return exitNotRun, err
	}
	w := &world{
		root: root, trouble: os.Getenv("TROUBLE") != "0", runs: &runs{}, calls: &calls{}, record: bufio.NewWriter(file),
		fleet: &fleet{root: root, dir: dir, port: port, memoryMB: 284, bounds: vliesbuchBounds()},
	}
	defer w.record.Flush()
	if w.store, err = startStore("127.0.78.1:0"); err != nil {
		return exitNotRun, err
	}
	defer w.store.close()
	defer w.fleet.stopAll()
	go w.endEarly()
	broken, err := cases[os.Args[1]](w)
	w.dump()
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		return exitNotRun, err
	case broken:
		w.note("the rule was BROKEN (trouble: %t)", w.trouble)
		return exitBroken, nil
	}
	w.note("the rule held (trouble: %t)", w.trouble)
	return exitHeld, nil
}

// maxTime is how long a case may take.
const maxTime = 118 * time.Second

// endEarly ends all processes if the case is told to stop or takes too long.
func (w *world) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxTime - since()):
	}
	w.fleet.killAll()
	os.Exit(exitNotRun)
}

// dump writes what was sent, answered and run.
func (w *world) dump() {
	w.noteMu.Lock()
	defer w.noteMu.Unlock()
	all := w.calls.list()
	sort.Slice(all, func(i, j int) bool { return all[i].at < all[j].at })
	for _, s := range all {
		problem := ""
		if s.err != nil {
			problem = " error"
		}
		fmt.Fprintf(w.record, "sent %8.3f answered %8.3f id %s to %s %s %s status %d stamp %q bytes %d%s\n",
			s.at.Seconds(), s.end.Seconds(), s.id, s.vm, s.method, s.path, s.status, s.stamp, s.length, problem)
	}
	for _, r := range w.runs.list() {
		fmt.Fprintf(w.record, "run  %8.3f ended %8.3f id %s server %s of %s route %s complete %t\n",
			r.at.Seconds(), r.end.Seconds(), r.id, r.server, r.service, r.route, r.done)
	}
}

// addTargets starts servers and registers them.
func (w *world) addTargets(service, zone string, n, slots int, work func(route string) (time.Duration, int)) error {
	for range n {
		t := &target{
			id: fmt.Sprintf("i-%s-%d", service, len(w.targets)+1), service: service, zone: zone, slots: slots, log: w.runs, work: work,
		}
		if err := t.start("127.0.79.1"); err != nil {
			return err
		}
		w.targets = append(w.targets, t)
		w.store.put("servers/"+t.id, t.entry("ready"))
	}
	return nil
}

// routeColumns are the columns of a route's row.
var routeColumns = []string{
	"name", "host", "prefix", "kind", "timeout_s", "target_latency_s", "priority", "service", "max_attempts", "sticky",
	"allowed_regions", "traffic_split",
}

// config returns a configuration like the one that fleetbench wire prints.
func config(version int, services []string, routes ...[]any) map[string]any {
	var rows [][]any
	for _, name := range services {
		rows = append(rows, []any{name, "/health", 360, "h1", false, 3.0, 5.5})
	}
	return map[string]any{
		"version": version,
		"routes":  map[string]any{"columns": routeColumns, "rows": routes},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_connections", "protocol", "tls", "cold_start_s", "cold_per_s"}, "rows": rows,
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
}
