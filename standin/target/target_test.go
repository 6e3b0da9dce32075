package target

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/result"
)

func start(t *testing.T, o Options) *Target {
	t.Helper()
	target := New(o)
	if err := target.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Stop)
	return target
}

func send(t *testing.T, target *Target, path, token string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+target.Addr().String()+path, strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(result.HeaderToken, token)
	r.Header.Set(result.HeaderExchange, "e1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

func TestLedgerHoldsExactlyWhatRan(t *testing.T) {
	target := start(t, Options{Slots: 1, Queue: 2})
	const sent = 12
	var mu sync.Mutex
	var done sync.WaitGroup
	ran := map[string]bool{}
	for i := range sent {
		done.Go(func() {
			token := string(rune('a' + i))
			resp, body := send(t, target, "/orders", token)
			if resp.Header.Get(result.HeaderExchange) != "e1" {
				t.Error("the exchange number is not repeated")
			}
			mu.Lock()
			defer mu.Unlock()
			ran[token] = resp.Header.Get(result.HeaderShed) == ""
			if ran[token] && body != token+"\n1\n"+token+"\n" {
				t.Errorf("answer %q", body)
			}
		})
	}
	done.Wait()
	told := 0
	for _, r := range ran {
		if r {
			told++
		}
	}
	ledger := target.Ledger()
	if len(ledger) != told {
		t.Fatalf("%d ran by the answers, %d by the ledger", told, len(ledger))
	}
	for _, line := range ledger {
		if !ran[line.Token] || line.Count != 1 {
			t.Fatalf("ledger line %+v", line)
		}
	}
}

func TestLeavingTargetShedsWithCertainty(t *testing.T) {
	target := start(t, Options{})
	target.Leave()
	resp, _ := send(t, target, "/orders", "a")
	if resp.Header.Get(result.HeaderShed) == "" || resp.Header.Get(result.HeaderLeaving) == "" {
		t.Fatalf("headers %v", resp.Header)
	}
	if len(target.Ledger()) != 0 {
		t.Fatal("a shed request ran")
	}
}

func TestFailFastSaysHealthy(t *testing.T) {
	target := start(t, Options{})
	target.SetFaults(Faults{FailFast: true})
	if resp, _ := send(t, target, "/health", "p"); resp.StatusCode != http.StatusOK {
		t.Fatalf("health %d", resp.StatusCode)
	}
	if resp, _ := send(t, target, "/orders", "a"); resp.StatusCode != http.StatusInternalServerError {
		t.Fatalf("work %d", resp.StatusCode)
	}
}

// A target that stays silent until the deadline must not send an empty answer in the end.
func TestSilentTargetNeverAnswers(t *testing.T) {
	target := start(t, Options{})
	target.SetFaults(Faults{Silent: true})
	const deadline = "20"
	for range 5 {
		r, err := http.NewRequest(http.MethodGet, "http://"+target.Addr().String()+"/gangs", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set(result.HeaderDeadline, deadline)
		if resp, err := http.DefaultClient.Do(r); err == nil {
			resp.Body.Close()
			t.Fatalf("a silent target answered with status %d", resp.StatusCode)
		}
	}
}
