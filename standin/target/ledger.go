package target

import (
	"sync"
	"time"
)

// Run is one line of the ledger: a token and when it first ran.
type Run struct {
	Token string    `json:"token"`
	At    time.Time `json:"at"`
	Count int       `json:"count"`
}

// ledger records what ran. A request counts from the moment its handler
// begins, whatever becomes of its answer.
type ledger struct {
	mu   sync.Mutex
	at   map[string]int
	runs []Run
}

func newLedger() *ledger { return &ledger{at: make(map[string]int)} }

func (l *ledger) record(token string) {
	if token == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if i, ok := l.at[token]; ok {
		l.runs[i].Count++
		return
	}
	l.at[token] = len(l.runs)
	l.runs = append(l.runs, Run{Token: token, At: time.Now(), Count: 1})
}

func (l *ledger) copy() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}
