package measure

import (
	"fmt"
	"strings"
)

// One is an experiment with one scenario. Its texts are as in an experiment
// file; "" takes the default.
type One struct {
	Scenario     string
	Sizes, Seeds string
	Repetitions  int

	Duration, Warmup, Rate, Workers string
}

// Text returns the experiment file.
func (o *One) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[experiment]\nname = %s\nrepetitions = %d\nseeds = %s\n", o.Scenario, o.Repetitions, o.Seeds)
	fmt.Fprintf(&b, "\n[scenario %s]\nsizes = %s\n", o.Scenario, o.Sizes)
	keys := []struct{ name, value string }{
		{"duration", o.Duration}, {"warmup", o.Warmup}, {"rate", o.Rate}, {"workers", o.Workers},
	}
	for _, key := range keys {
		if key.value != "" {
			fmt.Fprintf(&b, "%s = %s\n", key.name, key.value)
		}
	}
	return b.String()
}
