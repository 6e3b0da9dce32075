package target

import (
	"net/http"
	"strconv"

	"github.com/goccy/go-json"

	"github.com/yuccaroute/yuccaroute/api/wait"
)

// serveHealth says "ok" whatever becomes of requests, unless told otherwise.
func (t *Target) serveHealth(w http.ResponseWriter, r *http.Request) {
	t.probe(r)
	if t.faults.Load().Unhealthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	writeText(w, http.StatusOK, "ok\n")
}

func (t *Target) serveLoad(w http.ResponseWriter, r *http.Request) {
	t.probe(r)
	writeText(w, http.StatusOK, strconv.Itoa(t.reportedLoad())+"\n")
}

// probe takes a slot for as long as a probe costs.
func (t *Target) probe(r *http.Request) {
	if t.options.ProbeCost <= 0 || t.slots.enter(r.Context()) != nil {
		return
	}
	defer t.slots.leave()
	wait.For(r.Context(), t.options.ProbeCost)
}

func (t *Target) reportedLoad() int {
	return t.report.current(t.slots.load(), t.faults.Load())
}

func (t *Target) serveLedger(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.Ledger())
}

func (t *Target) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPut {
		writeJSON(w, t.faults.Load())
		return
	}
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(f)
	writeJSON(w, &f)
}

// serveLeave begins a drain on PUT and ends it on DELETE.
func (t *Target) serveLeave(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		t.Leave()
	case http.MethodDelete:
		t.Return()
	}
	writeText(w, http.StatusOK, strconv.FormatBool(t.leaving.Load())+"\n")
}

func writeJSON(w http.ResponseWriter, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writeText(w, http.StatusOK, string(text))
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}
