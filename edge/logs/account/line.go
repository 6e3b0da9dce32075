package account

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"
)

// Messages of the lines that are read. All others are passed over.
const (
	messageRequest = "gateway: request ended"
	messageStarted = "entry: started"
)

// line is what is read of one log line.
type line struct {
	Message string `json:"msg"`
	Time    string `json:"time"`
	// VM is set in the queue that a VM writes at its start. Region is its own there, and
	// that of the target in the queue of a request.
	VM     string `json:"vm"`
	Region string `json:"region"`

	ID          string   `json:"id"`
	Route       string   `json:"route"`
	Service     string   `json:"service"`
	Result      string   `json:"result"`
	Why         string   `json:"why"`
	Key         string   `json:"affinity_key"`
	Status      int      `json:"status"`
	Sent        int      `json:"sent"`
	MS          int64    `json:"ms"`
	WaitedMS    int64    `json:"waited_ms"`
	ObjectiveMS int64    `json:"objective_ms"`
	Expected    int64    `json:"expected_ms"`
	Targets     []string `json:"targets"`
	TookMS      []int64  `json:"took_ms"`
	InFlight    int      `json:"in_flight"`
	Slots       int      `json:"slots"`
}

// entry is a line with when and by which VM it was written.
type entry struct {
	line
	vm string
	at time.Duration
}

// parse decodes a line. Words before the JSON key are of whatever gathered the logs;
// the last of them names the VM. A line without a key is no fault, ok is false for
// one whose key cannot be read.
func parse(text []byte) (e entry, skip, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return e, true, true
	}
	if words := strings.Fields(string(text[:start])); len(words) > 0 {
		e.vm = words[len(words)-1]
	}
	if err := json.Unmarshal(text[start:], &e.line); err != nil {
		return e, false, false
	}
	if e.Message != messageRequest && e.Message != messageStarted {
		return e, true, true
	}
	at, err := time.Parse("15:04:05.000", e.Time)
	if err != nil {
		return e, false, false
	}
	e.at = at.Sub(at.Truncate(day))
	return e, false, true
}

const day = 24 * time.Hour
