package client

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// malformedVM answers look-ups with its own address, and requests with a head that HTTP does not allow.
type malformedVM struct {
	net.Listener
	line, fields string
	mu           sync.Mutex
	requests     int
	handlers     sync.WaitGroup
}

func startMalformedVM(t *testing.T, line, fields string) *malformedVM {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	vm := &malformedVM{Listener: l, line: line, fields: fields}
	vm.handlers.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			vm.handlers.Go(func() { vm.serve(conn) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		vm.handlers.Wait()
	})
	return vm
}

func (vm *malformedVM) serve(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := readAll(req); err != nil {
		return
	}
	if req.URL.Path == LookupPath {
		body := fmt.Sprintf(`{"lifetime_ms":60000,"entry_vms":[{"id":"a","address":%q},{"id":"b","address":%q}]}`,
			vm.Addr(), strings.Replace(vm.Addr().String(), "127.0.0.1", "127.0.0.2", 1))
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return
	}
	vm.mu.Lock()
	vm.requests++
	vm.mu.Unlock()
	fmt.Fprintf(conn, "%s\r\nConnection: close\r\n%sContent-Length: 4\r\n\r\ndone", vm.line, vm.fields)
}

// Guards against a response with a malformed head that a caller takes for an answer, or for a refusal, upon which the
// order is sent to another entry VM.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	const ran, notRun = "Yucca-Result: 0\r\nYucca-Outcome: ran\r\n", "Yucca-Result: 114\r\nYucca-Outcome: not-run\r\n"
	for name, c := range map[string]struct{ line, fields string }{
		"status 000":             {"HTTP/1.1 000 x", ran},
		"status 999":             {"HTTP/1.1 999 x", ran},
		"version":                {"HTTP/9.9 200 x", ran},
		"blank in a name":        {"HTTP/1.1 200 OK", ran + "X Odd: a\r\n"},
		"blank before the colon": {"HTTP/1.1 200 OK", ran + "X-Odd : a\r\n"},
		"refusal":                {"HTTP/1.1 503 x", notRun + "X Odd: a\r\n"},
		"NUL in a name":          {"HTTP/1.1 200 OK", ran + "X\x00Odd: a\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			vm := startMalformedVM(t, c.line, c.fields)
			client, err := New(Options{
				Account: "daehan", Nodes: []string{vm.Addr().String()}, Timeout: ample, ConnectTimeout: ample, LookupTimeout: ample,
			})
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			answer, err := client.Do(context.Background(), Request{Method: http.MethodPost, Service: "dealer-desk", Path: "/orders", Body: []byte("pallet")})
			vm.mu.Lock()
			defer vm.mu.Unlock()
			if err == nil || answer.Outcome != result.Unknown || answer.Status != 0 || vm.requests != 1 {
				t.Errorf("%+v, %v, %d requests", answer, err, vm.requests)
			}
		})
	}
}
