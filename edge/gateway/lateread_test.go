package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/catalog"
)

// lateReader answers requests whose bodies it reads only after more time than sent data may stay unacknowledged.
func lateReader(answer func(c net.Conn, r *http.Request)) func(net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			time.Sleep(2 * unackedTimeout)
			n, err := io.Copy(io.Discard, r.Body)
			if err != nil || n != r.ContentLength {
				return
			}
			answer(c, r)
		}
	}
}

// unreadBody is larger than what the kernel of a target takes that does not read.
var unreadBody = strings.Repeat("x", 4<<20)

// allowLongRequests makes the time-outs of the routes longer than those of connections.
func allowLongRequests(v *catalog.View) {
	for i := range v.Config.Routes {
		v.Config.Routes[i].Timeout = time.Minute
	}
}

// An upload that a target reads late, while it works on its head, must not be broken off: it may run once only.
func TestUploadThatATargetReadsLateIsServed(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x"} {
		t.Run(path, func(t *testing.T) {
			address := startPeer(t, lateReader(func(c net.Conn, r *http.Request) {
				_, _ = io.WriteString(c, answerHead(r, 200, stamp)+whole)
			}))
			f := newGateway(t)
			f.edit = func(v *catalog.View) {
				allowLongRequests(v)
				v.Targets[0].Address = address
			}
			f.setTargets(false, &target{id: "late"})
			for i := range 2 {
				if a := f.ask(context.Background(), "POST", path, fmt.Sprint(i), 30*time.Second, unreadBody); a.Status != http.StatusOK {
					t.Errorf("upload %d: %d\n%s", i, a.Status, f.logText())
				}
			}
		})
	}
}

// The same on the way to another VM, whose processor may be busy.
func TestUploadThatAnotherVMReadsLateIsServed(t *testing.T) {
	peer := startPeer(t, lateReader(func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, answerHead(r, 200, stamp+fieldOwnerMillis+": 1\r\n")+whole)
	}))
	f := newGateway(t)
	f.edit = allowLongRequests
	f.setTargets(false, startTarget(t, "a", ok))
	f.setRelays(peer)
	f.cutOff()
	if a := f.ask(context.Background(), "POST", "/once/x", "7", 30*time.Second, unreadBody); a.Status != http.StatusOK {
		t.Errorf("%d\n%s", a.Status, f.logText())
	}
}
