package measure

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/bench/bounds"
)

// Checked is a benchmark run held against the bounds.
type Checked struct {
	bounds  []bounds.Bound
	outcome *bounds.Outcome
}

// Check reads the output of go test -bench and holds it against the bounds of
// all modules below root.
func Check(output io.Reader, root string) (*Checked, error) {
	all, err := bounds.ReadTree(os.DirFS(root))
	if err != nil {
		return nil, err
	}
	if len(all) == 0 {
		return nil, errors.Errorf("no %s in any module below %s", bounds.FileName, root)
	}
	outcome, err := bounds.CheckAll(output, all)
	if err != nil {
		return nil, err
	}
	return &Checked{bounds: all, outcome: outcome}, nil
}

// Write lists violations and bounds that were not checked.
func (c *Checked) Write(out io.Writer) {
	for _, v := range c.outcome.Violations {
		fmt.Fprintln(out, "VIOLATED:", v)
	}
	for _, b := range c.outcome.NotRun {
		fmt.Fprintf(out, "not run: %s %s\n", b.Module, b.Benchmark)
	}
	fmt.Fprintf(out, "%d figures checked of %d bounds, %d violated, %d bounds not run\n",
		c.outcome.Checked, len(c.bounds), len(c.outcome.Violations), len(c.outcome.NotRun))
}

// Err tells whether the bounds are kept. Bounds that were not run are not kept
// unless partial; an input without any figure never is, as an empty check
// would pass for a kept bound.
func (c *Checked) Err(partial bool) error {
	switch {
	case len(c.outcome.Violations) > 0:
		return errors.Errorf("%d bounds are violated", len(c.outcome.Violations))
	case c.outcome.Checked == 0:
		return errors.New("no figure was checked; the input must be the output of go test -bench -benchmem")
	case len(c.outcome.NotRun) > 0 && !partial:
		return errors.Errorf("%d bounds were not checked", len(c.outcome.NotRun))
	}
	return nil
}
