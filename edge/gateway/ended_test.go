package gateway

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"
)

// waitFor polls a condition and fails the test with message if it never holds.
func waitFor(t *testing.T, message string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(began) > time.Minute {
			t.Fatal(message)
		}
	}
}

// The log must distinguish a crashed target from a lost connection.
func TestLogDistinguishesCrashFromLostConnection(t *testing.T) {
	for name, ends := range map[string]bool{"target crashes": true, "connection lost": false} {
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
			waitFor(t, "no log line for the lost request", func() bool {
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
