package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/proxy/buffer"
)

// endlessly returns a script that answers with start and then more until the gateway closes the connection. It
// writes until closed is done.
func endlessly(start func(r *http.Request) string, more string, closed *sync.WaitGroup) script {
	block := strings.Repeat(more, 1+(8<<10)/len(more))
	return func(w *bufio.Writer, r *http.Request, _ string) bool {
		closed.Add(1)
		defer closed.Done()
		_, _ = io.WriteString(w, start(r))
		for {
			if _, err := io.WriteString(w, block); err != nil {
				return false
			}
		}
	}
}

// endlessScripts are answers without end, in a header and in a body.
func endlessScripts(closed *sync.WaitGroup) map[string]script {
	return map[string]script{
		"header": endlessly(func(r *http.Request) string { return answerHead(r, 200, stamp) }, "A: b\r\n", closed),
		"body": endlessly(func(r *http.Request) string {
			return answerHead(r, 200, stamp) + "Transfer-Encoding: chunked\r\n\r\n"
		}, "4\r\nbody\r\n", closed),
		"refused": endlessly(func(r *http.Request) string {
			return answerHead(r, 503, "X-Not-Run: 1\r\n") + "Transfer-Encoding: chunked\r\n\r\n"
		}, "4\r\nbody\r\n", closed),
	}
}

// An answer without end must end its request at once and truthfully: idempotent requests are served by another
// target, others end with an unknown outcome. The connection must be closed.
func TestEndlessAnswerOfOneTarget(t *testing.T) {
	var closed sync.WaitGroup
	for name, bad := range endlessScripts(&closed) {
		t.Run(name, func(t *testing.T) {
			first, second := badAndGoodTargets(t, bad)
			f := newGateway(t)
			f.edit = allowLongRequests
			f.setTargets(false, first, second)
			f.options.RetryExtra = 1000
			statuses := make(map[string]int)
			for i := range 20 {
				for _, path := range []string{"/safe/x", "/once/x"} {
					statuses[fmt.Sprint(path, " ", f.ask(context.Background(), "POST", path, fmt.Sprint(path, i), time.Minute, "").Status)]++
				}
			}
			if first.count() == 0 {
				t.Fatal("no request reached the target")
			}
			for status, n := range statuses {
				if status != "/safe/x 200" && status != "/once/x 200" && status != "/once/x 502" {
					t.Errorf("%s: %d", status, n)
				}
			}
			if strings.Contains(f.logText(), "deadline") {
				t.Error("requests waited for their deadline")
			}
			closed.Wait()
		})
	}
}

// Answers without end of many targets at once must not fill the memory, nor fail the requests of other targets.
func TestEndlessAnswersOfManyTargets(t *testing.T) {
	const budgetBytes, bad, requests = 4 << 20, 40, 200
	var closed sync.WaitGroup
	for name, answer := range endlessScripts(&closed) {
		t.Run(name, func(t *testing.T) {
			memory := buffer.NewBudget(budgetBytes)
			highest := &highestMemory{Share: memory.NewShare()}
			targets := []*target{startTarget(t, "good", ok)}
			for i := range bad {
				targets = append(targets, startTarget(t, fmt.Sprint("bad-", i), answer))
			}
			f := newGateway(t)
			f.edit = allowLongRequests
			f.setTargets(false, targets...)
			f.options.AnswerMemory, f.options.RetryExtra = highest, 1000
			var all sync.WaitGroup
			var mu sync.Mutex
			statuses := make(map[int]int)
			for i := range requests {
				all.Go(func() {
					a := f.ask(context.Background(), "POST", "/once/x", fmt.Sprint(i), time.Minute, "")
					mu.Lock()
					defer mu.Unlock()
					statuses[a.Status]++
				})
			}
			all.Wait()
			closed.Wait()
			if statuses[200] == 0 || statuses[502] == 0 || statuses[504] > 0 {
				t.Errorf("answers by status: %v", statuses)
			}
			if memory.Used() != 0 || highest.most > budgetBytes {
				t.Errorf("%d bytes still reserved, %d at most", memory.Used(), highest.most)
			}
		})
	}
}

// highestMemory records the most that was reserved.
type highestMemory struct {
	*buffer.Share
	mu   sync.Mutex
	most int64
}

func (m *highestMemory) Take(n int64) bool {
	if !m.Share.Take(n) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.most = max(m.most, m.Used())
	return true
}

// An answer without end to a health probe must end the probe at once, and the target is not healthy.
func TestEndlessAnswerToProbe(t *testing.T) {
	var closed sync.WaitGroup
	for name, bad := range endlessScripts(&closed) {
		t.Run(name, func(t *testing.T) {
			f := newGateway(t, startTarget(t, "a", bad))
			probed := f.options.Balancer.TargetsToProbe(time.Now(), "s", "r", 1, 0)
			healthy, _, err := f.checkHealth(context.Background(), probed[0], "/health")
			if err == nil || healthy || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("healthy %v, %v", healthy, err)
			}
			closed.Wait()
		})
	}
}

// An answer without end of another VM must end its exchange at once: an order has an unknown outcome, others are served.
func TestEndlessAnswerOfAnotherVM(t *testing.T) {
	var closed sync.WaitGroup
	for name, bad := range endlessScripts(&closed) {
		t.Run(name, func(t *testing.T) {
			vm, good := startTarget(t, "vm", bad), startTarget(t, "good", ok)
			f := newGateway(t)
			f.edit = allowLongRequests
			f.setTargets(false, good)
			f.setOwners(vm.address())
			key := f.peerKey(t)
			for path, want := range map[string]int{"/safe/x": http.StatusOK, "/once/x": http.StatusBadGateway} {
				f.setOwners(vm.address())
				before := vm.count()
				a := f.Handle(context.Background(), f.keyedRequest("POST", path, path, key, time.Minute, ""))
				if a.Status != want || vm.count() != before+1 {
					t.Errorf("%s: %d, %d requests at the other VM", path, a.Status, vm.count()-before)
				}
			}
			closed.Wait()
		})
	}
}
