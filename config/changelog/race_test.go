package changelog_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/examples"
	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

const (
	raceTemplate = "dealer"
	operators    = 16
	changesEach  = 40
)

// One write in four goes wrong, most of them so that the caller cannot know
// its outcome; one read in thirty fails.
var (
	writeRates = faultkv.Rates{Refuse: 0.03, Drop: 0.06, LoseAnswer: 0.1, ApplyLate: 0.06, MaxDelay: 40 * time.Millisecond}
	readRates  = faultkv.Rates{Refuse: 0.03, MaxDelay: 20 * time.Millisecond}
)

func raceFaults(seed uint64) faultkv.Chooser {
	writes, reads := faultkv.Random(seed, writeRates), faultkv.Random(seed, readRates)
	return func(c faultkv.Call) faultkv.Decision {
		if c.Kind.Writes() {
			return writes(c)
		}
		return reads(c)
	}
}

// outages takes the store of one operator out now and then, some longer than
// the operator waits.
func outages(kv *faultkv.Store, seed uint64, done <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 7))
	for {
		select {
		case <-done:
			kv.SetOutage(false)
			return
		case <-time.After(time.Duration(random.IntN(6000)) * time.Millisecond):
		}
		kv.SetOutage(true)
		time.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
		kv.SetOutage(false)
	}
}

// Operators who race through a failing store must all be told the truth, and nobody may read an
// invalid cut.
func TestRacingOperators(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { race(t, seed) })
		})
	}
}

func race(t *testing.T, seed uint64) {
	inner := memkv.New(memkv.Options{})
	setUp := changelog.New(inner, changelog.Options{})
	rec := newRecorder()
	createObjects(t, setUp, rec)

	var running, failing sync.WaitGroup
	done := make(chan struct{})
	var faulty []*faultkv.Store
	for n := range operators {
		own := seed*operators + uint64(n)
		kv := faultkv.New(inner, raceFaults(own))
		faulty = append(faulty, kv)
		failing.Go(func() { outages(kv, own, done) })
		o := &operator{
			t: t, n: n, rec: rec,
			log:    changelog.New(kv, changelog.Options{Seed: seed + uint64(n)}),
			random: rand.New(rand.NewPCG(seed, uint64(n))),
		}
		running.Go(o.run)
	}
	running.Wait()
	close(done)
	failing.Wait()
	for _, kv := range faulty {
		kv.WaitLate()
	}
	rec.check(t, setUp)
	if len(rec.accepted) < operators {
		t.Errorf("only %d changes were accepted", len(rec.accepted))
	}
	t.Logf("accepted %d, refused %d, unknown %d", len(rec.accepted), len(rec.refused), len(rec.unknown))
}

func createObjects(t *testing.T, log *changelog.Log, rec *recorder) {
	t.Helper()
	o := &operator{t: t, n: operators, log: log, rec: rec, random: rand.New(rand.NewPCG(0, 0))}
	for object := range raceObjects {
		o.change(object, 0, false)
	}
}

// operator makes changes through one node.
type operator struct {
	t      *testing.T
	n      int
	made   int
	log    *changelog.Log
	rec    *recorder
	random *rand.Rand
}

func (o *operator) run() {
	for range changesEach {
		cut, ok := o.read()
		if !ok {
			continue
		}
		object := o.random.IntN(raceObjects)
		sequence := cut.objects[object].Sequence
		if o.random.IntN(4) == 0 {
			sequence = changelog.AnySequence
		}
		o.change(object, sequence, o.random.IntN(3) == 0)
	}
}

func (o *operator) read() (state, bool) {
	began := o.rec.now()
	cut, err := o.log.Read(o.t.Context(), raceTemplate)
	if err != nil {
		o.expect(err, store.ErrUnavailable)
		return state{}, false
	}
	s := stateOf(cut)
	o.rec.add(o.n, began, call{}, answer{cut: s})
	for _, account := range cut.Accounts {
		o.rec.valid(o.t, cut.Template.Text, account)
	}
	return s, true
}

func stateOf(cut *changelog.Cut) state {
	s := state{sequence: cut.Sequence}
	s.objects[0] = changelog.Object{Hash: changelog.Hash(cut.Template.Text), Sequence: cut.Template.Sequence}
	for i, name := range raceAccounts {
		if a := cut.Account(name); a != nil {
			s.objects[i+1] = changelog.Object{Hash: changelog.Hash(a.Text), Sequence: a.Sequence}
		}
	}
	return s
}

// change makes one change and notes what the operator was told. A narrow
// template permits no drain of an hour; a narrow account plans one.
func (o *operator) change(object int, ifSequence uint64, narrow bool) {
	o.made++
	c := changelog.Change{
		ID: fmt.Sprintf("change-%02d-%04d", o.n, o.made), Who: "op", Template: raceTemplate,
		Kind: changelog.KindTemplate, Name: raceTemplate, IfSequence: ifSequence,
	}
	c.Text = templateText(c.ID, narrow)
	if object > 0 {
		c.Kind, c.Name = changelog.KindAccount, raceAccounts[object-1]
		c.Text = accountText(c.ID, c.Name, narrow)
	}
	in := call{write: true, id: c.ID, object: object, hash: changelog.Hash(c.Text), ifSequence: ifSequence}
	ctx, cancel := context.WithTimeout(o.t.Context(), 3*time.Second)
	defer cancel()
	began := o.rec.now()
	result, err := o.log.Apply(ctx, c)
	var conflict *changelog.ConflictError
	var unknown *changelog.UnknownError
	switch {
	case err == nil:
		o.rec.add(o.n, began, in, answer{accepted: true, sequence: result.Record.Sequence})
	case errors.As(err, &conflict):
		o.rec.add(o.n, began, in, answer{conflict: true, sequence: conflict.Current})
		o.rec.refuse(c.ID)
	case errors.As(err, &unknown):
		o.rec.unsure(o.n, began, in)
	default:
		o.expect(err, store.ErrUnavailable, changelog.ErrBusy)
		o.rec.refuse(c.ID)
	}
}

// expect permits refusals by the store and by validation.
func (o *operator) expect(err error, permitted ...error) {
	var problems config.Problems
	if errors.As(err, &problems) {
		return
	}
	for _, p := range permitted {
		if errors.Is(err, p) {
			return
		}
	}
	o.t.Errorf("unexpected: %v", err)
}

func templateText(id string, narrow bool) []byte {
	text := "; " + id + "\n" + string(examples.Text("dealer"))
	if narrow {
		text += "\n[drains]\nlongest_seconds = 600\n"
	}
	return []byte(text)
}

func accountText(id, name string, drain bool) []byte {
	text := strings.Replace(string(examples.Text("daehan")), "name = daehan", "name = "+name, 1)
	if drain {
		text += "\n[drain night]\nplace = kr-seoul-a\nstart = 2026-01-01T00:00:00Z\nend = 2026-01-01T01:00:00Z\nuntil = 2026-01-01T02:00:00Z\n"
	}
	return []byte("; " + id + "\n" + text)
}
