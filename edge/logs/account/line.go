package account

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"
)

// Messages of the lines that are analysed. All others are ignored.
const (
	messageRequest = "gateway: request ended"
	messageStarted = "entry: started"
)

// line holds the fields of a log line that the analysis uses.
type line struct {
	Message string `json:"msg"`
	Time    string `json:"time"`
	// VM is set in the line of a VM's start. Region is the VM's own there, and the
	// target's in the line of a request.
	VM     string `json:"vm"`
	Region string `json:"region"`

	ID          string   `json:"id"`
	Route       string   `json:"route"`
	Service     string   `json:"service"`
	Account     string   `json:"account"`
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

// entry is a line with its time and the VM that wrote it.
type entry struct {
	line
	vm string
	at time.Duration
}

// parse decodes a line. The last word before the JSON object, if any, is the VM's name. skip
// is set for lines that do not concern the analysis, ok is false for unreadable ones.
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
