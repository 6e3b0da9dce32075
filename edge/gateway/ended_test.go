package gateway

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"
)

// waitFor waits for a condition.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(began) > time.Minute {
			t.Fatal(what)
		}
	}
}

// Guards against a log that does not tell a target that ended from a connection that broke.
func TestLogTellsEndedTargetsFromLostConnections(t *testing.T) {
	for name, ends := range map[string]bool{"target ends": true, "connection breaks": false} {
		t.Run(name, func(t *testing.T) {
			var s *target
			s = startTarget(t, "a", func(*bufio.Writer, *http.Request, string) bool {
				if ends {
					s.listener.Close()
				}
				return false
			})
			f := newGateway(t, s)
			f.ask(context.Background(), "POST", "/once/x", "7", time.Second, "order")
			waitFor(t, "no line on the lost request", func() bool {
				return strings.Contains(f.logText(), "gateway: requests lost at a target")
			})
			want := `"ended":false`
			if ends {
				want = `"ended":true`
			}
			if log := f.logText(); !strings.Contains(log, want) || strings.Count(log, `"fingerprint`) != 2 {
				t.Errorf("want %s and the fingerprint twice: %s", want, log)
			}
		})
	}
}
