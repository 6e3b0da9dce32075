package target

import (
	"io"
	"sync"
	"time"

	"github.com/goccy/go-json"
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
	// journal, unless nil, gets a line for each run before the run begins.
	journal io.Writer
}

func newLedger(journal io.Writer) *ledger {
	return &ledger{at: make(map[string]int), journal: journal}
}

func (l *ledger) record(token string) {
	if token == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write(Run{Token: token, At: time.Now(), Count: 1})
	if i, ok := l.at[token]; ok {
		l.runs[i].Count++
		return
	}
	l.at[token] = len(l.runs)
	l.runs = append(l.runs, Run{Token: token, At: time.Now(), Count: 1})
}

// write appends a run to the journal in one call of the system, so that it
// outlives the process whenever that is killed.
func (l *ledger) write(run Run) {
	if l.journal == nil {
		return
	}
	line, err := json.Marshal(&run)
	if err == nil {
		_, _ = l.journal.Write(append(line, '\n'))
	}
}

func (l *ledger) copy() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}
