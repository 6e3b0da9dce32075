package faultkv_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

// TestWriteFaults checks, for each fault, the returned error and whether the write
// is applied at once and after a minute.
func TestWriteFaults(t *testing.T) {
	cases := map[string]struct {
		decision                         faultkv.Decision
		wantErr                          error
		appliedAtOnce, appliedAfterDelay bool
	}{
		"none":        {faultkv.Decision{}, nil, true, true},
		"refuse":      {faultkv.Decision{Fault: faultkv.Refuse}, store.ErrUnavailable, false, false},
		"drop":        {faultkv.Decision{Fault: faultkv.Drop}, store.ErrUnknown, false, false},
		"lose answer": {faultkv.Decision{Fault: faultkv.LoseAnswer}, store.ErrUnknown, true, true},
		"apply late":  {faultkv.Decision{Fault: faultkv.ApplyLate, LateBy: time.Minute}, store.ErrUnknown, false, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				inner := memkv.New(memkv.Options{})
				kv := faultkv.New(inner, faultkv.Script(map[faultkv.Kind][]faultkv.Decision{
					faultkv.KindSwap: {test.decision},
				}))
				_, err := kv.Swap(t.Context(), "a", []byte("x"), 0, 0)
				if !errors.Is(err, test.wantErr) {
					t.Errorf("got error %v, want %v", err, test.wantErr)
				}
				checkExists(t, inner, test.appliedAtOnce)
				kv.WaitLate()
				checkExists(t, inner, test.appliedAfterDelay)
				if n := kv.Counts().Of(faultkv.KindSwap); n != 1 {
					t.Errorf("counted %d calls, want 1", n)
				}
			})
		})
	}
}

func checkExists(t *testing.T, kv store.KV, want bool) {
	t.Helper()
	_, err := kv.Get(t.Context(), "a")
	if exists := err == nil; exists != want {
		t.Errorf("key exists: %v, want %v", exists, want)
	}
}

// A waiting watch must fail when the outage starts, not at its own timeout.
func TestOutageEndsWaitingWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := faultkv.New(memkv.New(memkv.Options{}), nil)
		start := time.Now()
		go func() {
			time.Sleep(time.Second)
			kv.SetOutage(true)
		}()
		_, err := kv.Watch(context.Background(), "a", 0)
		if !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("got error %v, want unavailable", err)
		}
		if waited := time.Since(start); waited != time.Second {
			t.Errorf("waited %s, want 1s", waited)
		}
		kv.SetOutage(false)
		if _, err := kv.List(t.Context(), ""); err != nil {
			t.Errorf("after the outage: %v", err)
		}
		if n := kv.Counts().Total(); n != 2 {
			t.Errorf("counted %d calls, want 2", n)
		}
	})
}
