package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/quarantine"
	"github.com/yuccaroute/yuccaroute/proxy/pool"
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

// Guards against requests that all VMs refuse because one VM, which no target accepts connections from, took the
// targets for ended.
func TestVMThatIsCutOffReportsNoCrashes(t *testing.T) {
	for name, cut := range map[string]bool{"one target ends": false, "all refuse": true} {
		t.Run(name, func(t *testing.T) {
			a, b := startTarget(t, "a", hangUp), startTarget(t, "b", hangUp)
			events := make(chan struct{}, 10)
			f := newGatewayOn(t, func(rtt time.Duration) pool.Dial {
				return func(ctx context.Context, address string) (net.Conn, error) {
					if a.count()+b.count() > 0 && (cut || a.count() > 0 == (address == a.address())) {
						address = "127.0.0.1:1"
					}
					return dialer(rtt)(ctx, address)
				}
			}, a, b)
			f.options.Quarantine = quarantine.New(quarantine.Options{
				VM: "vm", Logger: f.options.Logger, EventAdded: func() { events <- struct{}{} },
			})
			f.ask(context.Background(), "POST", "/once/x", "7", time.Second, "order")
			waitFor(t, "the target was never checked", func() bool { return strings.Contains(f.logText(), "gateway: requests lost at a target") })
			if got := strings.Contains(f.logText(), `"ended":true`); got == cut {
				t.Errorf("ended %v, cut off %v: %s", got, cut, f.logText())
			}
			if cut && len(events) > 0 {
				t.Error("a crash was reported")
			}
		})
	}
}
