package program

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
)

// Stops are the two signals of a stop.
type Stops struct {
	// Planned ends at the first SIGTERM or SIGINT: begin a planned stop.
	Planned context.Context
	// Forced ends at the second: stop now, with outcomes still told truthfully.
	Forced context.Context
	cancel func()
}

// OnSignals watches for the signals until Close.
func OnSignals(parent context.Context) *Stops {
	planned, cancelPlanned := context.WithCancel(parent)
	forced, cancelForced := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-signals:
			cancelPlanned()
		case <-forced.Done():
			return
		}
		select {
		case <-signals:
			cancelForced()
		case <-forced.Done():
		}
	}()
	return &Stops{
		Planned: planned,
		Forced:  forced,
		cancel: func() {
			signal.Stop(signals)
			cancelPlanned()
			cancelForced()
		},
	}
}

// Told puts an error that an interrupt caused into the words of who sent it.
func (s *Stops) Told(err error) error {
	if err != nil && s.Planned.Err() != nil {
		return errors.New("interrupted before the end")
	}
	return err
}

// Close ends the watching.
func (s *Stops) Close() { s.cancel() }
