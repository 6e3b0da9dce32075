package operator

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/config"
)

// PreviewDrain tells what a drain would do, without planning it. The document
// is made here as the node makes it.
func (n *Nodes) PreviewDrain(ctx context.Context, account, name string, drain *wire.DrainRequest) (*wire.Preview, error) {
	o := Object{Kind: KindAccount, Name: account}
	current, err := n.Get(ctx, o)
	if err != nil {
		return nil, err
	}
	template, err := n.Get(ctx, Object{Kind: KindTemplate, Name: current.Template})
	if err != nil {
		return nil, err
	}
	resolved, err := config.ResolveText(current.Template, []byte(template.Text), account, []byte(current.Text))
	if err != nil {
		return nil, err
	}
	text := resolved.WithDrain(config.PlannedDrain{Name: name, Place: drain.Place, Start: drain.Start, End: drain.End, Until: drain.Until})
	return Read(ctx, n, func(ctx context.Context, api *client.Client) (*wire.Preview, error) {
		return api.DryRun(ctx, o.API(), client.At(current.Sequence), wire.ChangeRequest{ID: NewChangeID(o), Text: string(text)})
	})
}

// now is the word for the present.
const now = "now"

// DrainTimes are the times of a drain as operators write them: RFC 3339, "now",
// or "+" and a duration.
type DrainTimes struct {
	Start, End, Until string
	// Now is the present; the zero time takes the system's clock.
	Now time.Time
}

// Request returns the request for a drain of a place.
func (d *DrainTimes) Request(place string) (*wire.DrainRequest, error) {
	present := d.Now
	if present.IsZero() {
		present = time.Now()
	}
	start, err := moment("--start", d.Start, present, present)
	if err != nil {
		return nil, err
	}
	end, err := moment("--end", d.End, present, start)
	if err != nil {
		return nil, err
	}
	until, err := moment("--until", d.Until, present, start)
	if err != nil {
		return nil, err
	}
	return &wire.DrainRequest{Place: place, Start: start, End: end, Until: until}, nil
}

// moment reads a time; a duration counts from base. Documents hold whole
// seconds.
func moment(flag, text string, present, base time.Time) (time.Time, error) {
	if text == now {
		return present.UTC().Truncate(time.Second), nil
	}
	if after, found := strings.CutPrefix(text, "+"); found {
		d, err := time.ParseDuration(after)
		if err == nil && d >= 0 {
			return base.Add(d).UTC().Truncate(time.Second), nil
		}
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, errors.Errorf("%s is %q; permitted: RFC 3339 as 2026-12-01T20:00:00Z, now, or + and a duration as +10m", flag, text)
	}
	return t, nil
}
