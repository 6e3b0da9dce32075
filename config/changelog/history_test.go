package changelog_test

import (
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
)

// raceAccounts are the accounts that operators race on; object 0 is their
// template.
var raceAccounts = []string{"acc-a", "acc-b", "acc-c", "acc-d"}

const raceObjects = 5

// state is a whole cut as the checker sees it.
type state struct {
	sequence uint64
	objects  [raceObjects]changelog.Object
}

// call is a change of one object, or a read when write is false.
type call struct {
	write      bool
	id         string
	object     int
	hash       string
	ifSequence uint64
}

// answer is what the operator was told. accepted and conflict are both false
// for a read.
type answer struct {
	accepted bool
	conflict bool
	// sequence is the sequence made by an accepted change, or the current one
	// that a conflict named.
	sequence uint64
	cut      state
}

// sequentialModel is what one operator alone would see.
var sequentialModel = porcupine.Model{
	Init: func() any { return state{} },
	Step: func(s, input, output any) (bool, any) {
		return step(s.(state), input.(call), output.(answer))
	},
}

func step(s state, in call, out answer) (bool, any) {
	if !in.write {
		return out.cut == s, s
	}
	current := s.objects[in.object].Sequence
	matches := in.ifSequence == changelog.AnySequence || in.ifSequence == current
	if out.conflict {
		return !matches && out.sequence == current, s
	}
	if !matches || out.sequence != s.sequence+1 {
		return false, s
	}
	s.sequence++
	s.objects[in.object] = changelog.Object{Hash: in.hash, Sequence: s.sequence}
	return true, s
}

// recorder collects what all operators did and were told.
type recorder struct {
	mu       sync.Mutex
	start    time.Time
	ops      []porcupine.Operation
	refused  []string
	unknown  []porcupine.Operation
	accepted map[string]uint64
	// checked holds the pairs of documents that were found valid together.
	checked map[[2]string]bool
}

func newRecorder() *recorder {
	return &recorder{start: time.Now(), accepted: map[string]uint64{}, checked: map[[2]string]bool{}}
}

func (r *recorder) now() int64 { return int64(time.Since(r.start)) }

func (r *recorder) add(operator int, began int64, in call, out answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: operator, Input: in, Call: began, Output: out, Return: r.now()})
	if out.accepted {
		r.accepted[in.id] = out.sequence
	}
}

func (r *recorder) refuse(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused = append(r.refused, id)
}

func (r *recorder) unsure(operator int, began int64, in call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unknown = append(r.unknown, porcupine.Operation{ClientId: operator, Input: in, Call: began})
}

// valid checks that an account that somebody read was in force lawfully.
func (r *recorder) valid(t *testing.T, template []byte, account changelog.Document) {
	pair := [2]string{changelog.Hash(template), changelog.Hash(account.Text)}
	r.mu.Lock()
	seen := r.checked[pair]
	r.checked[pair] = true
	r.mu.Unlock()
	if seen {
		return
	}
	if _, err := config.ResolveText("template", template, account.Name, account.Text); err != nil {
		t.Errorf("an invalid account is in force: %v", err)
	}
}

// check judges the race once no write is under way any more.
func (r *recorder) check(t *testing.T, log *changelog.Log) {
	t.Helper()
	history, err := log.History(t.Context(), raceTemplate, changelog.Filter{})
	if err != nil {
		t.Fatal(err)
	}
	inForce := map[string]uint64{}
	for i := range history {
		if _, twice := inForce[history[i].ID]; twice {
			t.Errorf("change %s took effect twice", history[i].ID)
		}
		inForce[history[i].ID] = history[i].Sequence
	}
	for id, sequence := range r.accepted {
		if inForce[id] != sequence {
			t.Errorf("accepted change %s is lost: told %d, found %d", id, sequence, inForce[id])
		}
	}
	for _, id := range r.refused {
		if sequence, found := inForce[id]; found {
			t.Errorf("refused change %s is in force at %d", id, sequence)
		}
	}
	r.linearizable(t, inForce)
}

// linearizable looks for an order of all calls that one operator alone could
// have seen. Changes of unknown outcome count as made if the history has them.
func (r *recorder) linearizable(t *testing.T, inForce map[string]uint64) {
	t.Helper()
	for _, op := range r.unknown {
		sequence, found := inForce[op.Input.(call).id]
		if !found {
			continue
		}
		op.Output = answer{accepted: true, sequence: sequence}
		op.Return = r.now() + 1
		r.ops = append(r.ops, op)
	}
	if !porcupine.CheckOperations(sequentialModel, r.ops) {
		t.Error("the calls are not linearizable")
	}
}
