package client_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/client"
)

// exampleVM stands for an entry VM.
func exampleVM() *httptest.Server {
	var vm *httptest.Server
	vm = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == client.LookupPath {
			fmt.Fprintf(w, `{"lifetime_ms":30000,"entry_vms":[{"id":"entry-1","address":%q}]}`, vm.Listener.Addr())
			return
		}
		w.Header().Set(result.HeaderResult, "0")
		w.Header().Set(result.HeaderOutcome, result.Ran.String())
		fmt.Fprint(w, "order 4711 confirmed")
	}))
	return vm
}

// A dealer places an order at most once and tells the three outcomes apart.
func Example() {
	vm := exampleVM()
	defer vm.Close()
	c, err := client.New(client.Options{
		Account: "daehan",
		Nodes:   []string{vm.Listener.Addr().String()},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close()

	answer, err := c.Do(context.Background(), client.Request{
		Service:  "dealer-desk",
		Method:   http.MethodPost,
		Path:     "/orders",
		Key:      "order-4711",
		Body:     []byte(`{"part":"6204-2RS","pallets":1}`),
		Deadline: 2 * time.Second,
	})
	switch answer.Outcome {
	case result.Ran:
		fmt.Println(answer.Status, string(answer.Body))
	case result.NotRun:
		fmt.Println("not run, may be sent again:", err)
	case result.Unknown:
		fmt.Println("may have run, ask for the order before sending it again:", err)
	}
	// Output: 200 order 4711 confirmed
}
