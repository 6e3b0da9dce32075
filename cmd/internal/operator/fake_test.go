package operator

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// reaction is what a fake node does with one change.
type reaction struct {
	// accept puts the change in force in the system that all nodes share.
	accept bool
	// lose closes the connection without an answer.
	lose bool
	// refuse answers with a numbered result.
	refuse result.Code
}

// fakeSystem is what the fake nodes share.
type fakeSystem struct {
	mu      sync.Mutex
	inForce map[string]bool
	// sent lists the identifiers in the order in which changes came.
	sent []string
}

func (f *fakeSystem) has(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inForce[id]
}

// start serves a node that reacts to its changes in turn, and to all later
// ones as to the last.
func (f *fakeSystem) start(t *testing.T, reactions ...reaction) string {
	mux := http.NewServeMux()
	next := 0
	mux.HandleFunc("PUT /admin/v1/accounts/{account}", func(w http.ResponseWriter, r *http.Request) {
		var request wire.ChangeRequest
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			t.Error(err)
		}
		f.mu.Lock()
		f.sent = append(f.sent, request.ID)
		f.inForce[request.ID] = f.inForce[request.ID] || reactions[next].accept
		f.mu.Unlock()
		answerChange(w, request.ID, reactions[next])
		next = min(next+1, len(reactions)-1)
	})
	mux.HandleFunc("GET /admin/v1/accounts/{account}/changes/{id}", func(w http.ResponseWriter, r *http.Request) {
		answer := wire.Outcome{ID: r.PathValue("id"), State: wire.OutcomeNotSeen}
		if f.has(answer.ID) {
			answer.State, answer.Change = wire.OutcomeInForce, &wire.Change{ID: answer.ID}
		}
		_ = json.NewEncoder(w).Encode(&answer)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

func answerChange(w http.ResponseWriter, id string, r reaction) {
	switch {
	case r.lose:
		panic(http.ErrAbortHandler)
	case r.refuse != result.OK:
		info := result.InfoOf(r.refuse)
		w.WriteHeader(info.HTTP)
		_ = json.NewEncoder(w).Encode(&wire.Error{Code: info.Code, Name: info.Name, Outcome: info.Outcome.String(), ChangeID: id})
	default:
		_ = json.NewEncoder(w).Encode(&wire.ChangeAnswer{Change: wire.Change{ID: id, Sequence: 2}})
	}
}

// nodesAt returns the nodes at the addresses.
func nodesAt(addresses ...string) *Nodes {
	var list []Node
	for _, address := range addresses {
		list = append(list, Node{Address: address, API: client.New(address, "", nil)})
	}
	return NewNodes(list, time.Minute, nil)
}
