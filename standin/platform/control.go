package platform

import (
	"io"
	"net/http"
	"time"

	"github.com/yuccaroute/yuccaroute/membership/wire"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
)

// Paths of the control API, for tests only. All but the counters take a POST;
// backup and restore take an empty body.
const (
	PathFault    = "/control/fault"
	PathVMs      = "/control/vms"
	PathBackup   = "/control/backup"
	PathRestore  = "/control/restore"
	PathCounters = "/control/counters"
)

// Fault is what the service does to calls from now on; it replaces what was
// set before. The zero value ends all faults.
type Fault struct {
	// Outage refuses all calls and ends waiting ones.
	Outage bool `json:"outage,omitempty"`
	// The delays apply to every call.
	DelayBeforeMillis int64 `json:"delay_before_ms,omitempty"`
	DelayAfterMillis  int64 `json:"delay_after_ms,omitempty"`
	// Refuse, Drop, LoseAnswer and ApplyLate are shares of calls, 0 to 1.
	Refuse     float64 `json:"refuse,omitempty"`
	Drop       float64 `json:"drop,omitempty"`
	LoseAnswer float64 `json:"lose_answer,omitempty"`
	ApplyLate  float64 `json:"apply_late,omitempty"`
	// MaxDelayMillis bounds random delays and how late a write is applied.
	MaxDelayMillis int64 `json:"max_delay_ms,omitempty"`
	// Seed of the random source.
	Seed uint64 `json:"seed,omitempty"`
}

// VMChange changes the VM list.
type VMChange struct {
	Set    []wire.VM `json:"set,omitempty"`
	Remove []string  `json:"remove,omitempty"`
	// Append adds rows without regard to the ID, to show a VM twice.
	Append []wire.VM `json:"append,omitempty"`
	// LagMillis sets the lag when given.
	LagMillis *int64 `json:"lag_ms,omitempty"`
}

// Counters is what the platform has counted.
type Counters struct {
	// Calls by kind; a watch counts as one however long it waits.
	Calls map[string]uint64 `json:"calls"`
	Total uint64            `json:"total"`
	// RateRefused were above the rate and are not among the calls.
	RateRefused uint64 `json:"rate_refused"`
	// Watches waiting now, and the most there were at once.
	WatchesWaiting int64 `json:"watches_waiting"`
	WatchesMost    int64 `json:"watches_most"`
}

func (s *Server) routeControl(mux *http.ServeMux) {
	mux.HandleFunc("POST "+PathFault, serveControl(s.SetFault))
	mux.HandleFunc("POST "+PathVMs, serveControl(s.ChangeVMs))
	mux.HandleFunc("POST "+PathBackup, serveCommand(s.Backup))
	mux.HandleFunc("POST "+PathRestore, serveCommand(s.Restore))
	mux.HandleFunc("GET "+PathCounters, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Counters())
	})
}

func serveControl[T any](do func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		message, err := decode[T](body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		do(message)
		w.WriteHeader(http.StatusNoContent)
	}
}

func serveCommand(do func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		do()
		w.WriteHeader(http.StatusNoContent)
	}
}

// SetFault replaces the faults.
func (s *Server) SetFault(f Fault) {
	s.faults.SetChooser(f.chooser())
	s.faults.SetOutage(f.Outage)
}

func (f Fault) chooser() faultkv.Chooser {
	random := faultkv.Random(f.Seed, faultkv.Rates{
		Refuse:     f.Refuse,
		Drop:       f.Drop,
		LoseAnswer: f.LoseAnswer,
		ApplyLate:  f.ApplyLate,
		MaxDelay:   millis(f.MaxDelayMillis),
	})
	return func(call faultkv.Call) faultkv.Decision {
		decision := random(call)
		decision.DelayBefore += millis(f.DelayBeforeMillis)
		decision.DelayAfter += millis(f.DelayAfterMillis)
		return decision
	}
}

func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// ChangeVMs changes the VM list.
func (s *Server) ChangeVMs(change VMChange) {
	if change.LagMillis != nil {
		s.SetListLag(millis(*change.LagMillis))
	}
	s.list.change(func(rows []wire.VM) []wire.VM {
		for _, vm := range change.Set {
			rows = put(rows, vm)
		}
		rows = without(rows, change.Remove)
		return append(rows, change.Append...)
	})
}

// Counters returns what was counted so far.
func (s *Server) Counters() Counters {
	counts := s.faults.Counts()
	calls := map[string]uint64{}
	for _, kind := range faultkv.Kinds() {
		calls[kind.String()] = counts.Of(kind)
	}
	return Counters{
		Calls:          calls,
		Total:          counts.Total(),
		RateRefused:    s.rates.refused.Load(),
		WatchesWaiting: s.waiting.now.Load(),
		WatchesMost:    s.waiting.most.Load(),
	}
}
