// Package report holds the results of experiments: as JSON for machines, as a
// table for people, and compared with an earlier result as ratios.
package report

import (
	"io"
	"runtime"
	"time"

	"github.com/goccy/go-json"
	"github.com/pkg/errors"
)

// Metric is one measured figure.
type Metric struct {
	Name string `json:"name"`
	// Unit is for example "ns", "B", "1/s".
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Row is one repetition of a scenario at one size.
type Row struct {
	Scenario string `json:"scenario"`
	// SizeName says what Size counts, for example "blocks".
	SizeName   string   `json:"size_name"`
	Size       float64  `json:"size"`
	Seed       uint64   `json:"seed"`
	Repetition int      `json:"repetition"`
	Metrics    []Metric `json:"metrics"`
}

// Machine is where a result was measured.
type Machine struct {
	GoVersion string `json:"go_version"`
	System    string `json:"system"`
	CPUs      int    `json:"cpus"`
}

// Result is the outcome of one experiment.
type Result struct {
	Experiment string    `json:"experiment"`
	Started    time.Time `json:"started"`
	Machine    Machine   `json:"machine"`
	Rows       []Row     `json:"rows"`
}

// ThisMachine describes the machine the program runs on.
func ThisMachine() Machine {
	return Machine{
		GoVersion: runtime.Version(),
		System:    runtime.GOOS + "/" + runtime.GOARCH,
		CPUs:      runtime.NumCPU(),
	}
}

// WriteJSON writes the result.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write result")
}

// ReadJSON reads a result that WriteJSON wrote.
func ReadJSON(reader io.Reader) (*Result, error) {
	r := &Result{}
	if err := json.NewDecoder(reader).Decode(r); err != nil {
		return nil, errors.Wrap(err, "read result")
	}
	if r.Experiment == "" {
		return nil, errors.New("read result: it names no experiment, so it is no result")
	}
	return r, nil
}
