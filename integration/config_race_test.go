package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/bench/processes/configcheck"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/platform/kvclient"
	"github.com/yuccaroute/yuccaroute/standin/platform"
)

// The variables that ask for the long race: changes of each operator, and the
// seed.
const (
	raceChangesVariable = "YUCCAROUTE_RACE_CHANGES"
	raceSeedVariable    = "YUCCAROUTE_RACE_SEED"
)

const (
	raceNodes     = 8
	raceOperators = 16
	raceChanges   = 12
	raceTemplate  = "booking"
	// racePatience is how long an operator waits for one answer, and hurry how
	// long one who asks a node that is paused.
	racePatience = 4 * time.Second
	hurry        = time.Second
	// raceRepeats is how often an operator follows up an unknown outcome.
	raceRepeats = 2
	// marksEach keeps the marks of operators apart.
	marksEach = 10_000
)

// raceAccountNames are the accounts; object 0 is their template.
var raceAccountNames = []string{"farm-a", "farm-b", "farm-c"}

// The nodes and faults of the race, by the part of the changes that have ended.
const (
	pausedNode = 1
	killedNode = 6
	raceSteps  = 10
)

var raceFaults = platform.Fault{Refuse: 0.01, Drop: 0.03, LoseAnswer: 0.08, ApplyLate: 0.04, MaxDelayMillis: 20}

// Operators who race through nodes that pause and die and a store that fails must each be told the truth:
// in force everywhere and for good, or refused and nowhere.
func TestConfigurationRace(t *testing.T) {
	changes, seed := raceChanges, uint64(1)
	if n, err := strconv.Atoi(os.Getenv(raceChangesVariable)); err == nil && n > 0 {
		changes = n
	}
	if n, err := strconv.ParseUint(os.Getenv(raceSeedVariable), 10, 64); err == nil {
		seed = n
	}
	r := newConfigRace(t, seed, changes)
	r.run()
	in := r.settled()
	report := configcheck.Check(in)
	t.Logf("accepted %d, not made %d, unknown %d at first and %d in the end, of which made %d; %d reads, %d states of nodes",
		report.Accepted, report.NotMade, r.followed, report.Unknown, report.UnknownMade, report.Reads, report.Seen)
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	if r.followed == 0 || report.Accepted < raceOperators || report.Seen < raceNodes*raceSteps {
		t.Errorf("too little was compared: %+v", report)
	}
}

// configRace is one run.
type configRace struct {
	t       *testing.T
	f       *farm
	nodes   []*configNode
	http    []*client.Client
	seed    uint64
	changes int
	start   time.Time
	ended   atomic.Int64

	mu sync.Mutex
	in configcheck.Input
	// followed counts the changes whose first outcome was unknown.
	followed int
}

func newConfigRace(t *testing.T, seed uint64, changes int) *configRace {
	t.Helper()
	r := &configRace{t: t, f: newFarm(t), seed: seed, changes: changes, start: time.Now()}
	r.f.startPlatform()
	r.nodes = r.f.startConfigNodes(raceNodes, plainTLS)
	r.f.listVMs(r.f.vms...)
	for _, n := range r.nodes {
		r.http = append(r.http, n.api(httpClientFor(t, racePatience)))
	}
	for _, n := range r.nodes {
		r.f.waitListening(n.admin)
	}
	first := r.operator(raceOperators)
	for object := range len(raceAccountNames) + 1 {
		if told := first.change(object, 0, false); told.Told != configcheck.Accepted {
			t.Fatalf("object %d was not created: %+v", object, told)
		}
	}
	for i := range r.nodes {
		r.f.waitUntil(r.nodes[i].name+" to have all accounts", func() bool { return len(r.live(i)) == len(raceAccountNames) })
	}
	return r
}

func (r *configRace) now() int64 { return int64(time.Since(r.start)) }

// run lets the operators change, the faults happen and the nodes be asked.
func (r *configRace) run() {
	done := make(chan struct{})
	var operators, others sync.WaitGroup
	for i := range r.nodes {
		others.Go(func() { r.watch(i, done) })
	}
	others.Go(func() { r.faults(done) })
	for n := range raceOperators {
		operators.Go(r.operator(n).run)
	}
	operators.Wait()
	close(done)
	others.Wait()
}

// faults lets one fault after the other happen as changes end.
func (r *configRace) faults(done <-chan struct{}) {
	set := func(outage bool) {
		fault := raceFaults
		fault.Seed, fault.Outage = r.seed, outage
		r.f.control(platform.PathFault, fault)
	}
	set(false)
	steps := []func(){
		1: func() { r.nodes[pausedNode].p.pause(); r.changeAtPaused() },
		3: func() { r.nodes[pausedNode].p.resume() },
		4: func() { r.nodes[killedNode].p.kill() },
		5: func() { set(true) },
		6: func() { set(false); r.restart(killedNode) },
		7: func() { r.nodes[pausedNode+1].p.pause() },
		8: func() { r.nodes[pausedNode+1].p.resume() },
	}
	total := raceOperators * r.changes
	for part, step := range steps {
		for int(r.ended.Load())*raceSteps < part*total {
			select {
			case <-done:
			case <-time.After(pollEvery):
				continue
			}
			break
		}
		if step != nil {
			step()
		}
	}
}

// changeAtPaused gives a change to the paused node, which answers only after its
// operator gave up: the outcome is unknown, whatever else fails. The operator
// follows it up elsewhere, and the node takes it up when it goes on.
func (r *configRace) changeAtPaused() {
	late := r.operator(raceOperators + 1)
	late.node = pausedNode
	late.clients = append([]*client.Client{}, r.http...)
	late.clients[pausedNode] = r.nodes[pausedNode].api(httpClientFor(r.t, hurry))
	late.change(1, changelog.AnySequence, false)
}

func (r *configRace) restart(node int) {
	r.mu.Lock()
	r.nodes[node].starts++
	r.mu.Unlock()
	r.nodes[node].p.start()
}

// watch notes what a node has in force until the race is over.
func (r *configRace) watch(node int, done <-chan struct{}) {
	for {
		r.mu.Lock()
		process := r.nodes[node].starts
		r.mu.Unlock()
		seen := r.live(node)
		r.mu.Lock()
		// What was asked of a process that ended meanwhile may be of either.
		if process == r.nodes[node].starts {
			for i := range seen {
				seen[i].Process = process
			}
			r.in.Seen = append(r.in.Seen, seen...)
		}
		r.mu.Unlock()
		select {
		case <-done:
			return
		case <-time.After(pollEvery):
		}
	}
}

// live asks a node for the accounts in force; it returns none if it does not
// answer.
func (r *configRace) live(node int) []configcheck.Live {
	list, err := r.http[node].LiveAccounts(context.Background())
	if err != nil {
		return nil
	}
	var seen []configcheck.Live
	for i := range list.Accounts {
		a := &list.Accounts[i]
		for object, name := range raceAccountNames {
			if string(a.Account.Name) == name {
				seen = append(seen, configcheck.Live{
					Node: r.nodes[node].name, Account: object + 1,
					Version: changelog.Version{Epoch: a.Epoch, Sequence: a.Sequence},
					Marks:   configcheck.Marks{Template: a.Account.Services[0].MaxAnswerBytes, Account: int64(a.Account.Regions[0].CapacityRPS)},
				})
			}
		}
	}
	return seen
}

// settled takes the faults off, waits until nothing changes any more and
// returns all that was noted.
func (r *configRace) settled() configcheck.Input {
	r.f.control(platform.PathFault, platform.Fault{})
	kv, err := kvclient.New(kvclient.Options{Address: r.f.platformAddress})
	if err != nil {
		r.t.Fatal(err)
	}
	defer kv.Close()
	log := changelog.New(kv, changelog.Options{})
	newest, quiet := uint64(0), 0
	r.f.waitUntil("the store to stand still", func() bool {
		head, err := log.Head(r.t.Context(), raceTemplate)
		if err != nil || head.Sequence != newest {
			quiet = 0
		}
		if err == nil {
			newest = head.Sequence
		}
		quiet++
		return quiet > quietRounds
	})
	history, err := log.History(r.t.Context(), raceTemplate, changelog.Filter{})
	if err != nil {
		r.t.Fatal(err)
	}
	for _, record := range history {
		r.in.History = append(r.in.History, configcheck.Record{ID: record.ID, Object: objectOf(record.Name), Sequence: record.Sequence})
	}
	r.askByIdentifier(history)
	for i := range r.nodes {
		r.f.waitUntil(r.nodes[i].name+" to have the newest state", func() bool { return r.hasNewest(i, newest) })
		r.in.Last = append(r.in.Last, r.live(i)...)
	}
	return r.in
}

// hasNewest reports whether a node has all accounts, and the newest of them. The
// checker compares the others.
func (r *configRace) hasNewest(node int, newest uint64) bool {
	live := r.live(node)
	found := len(live) == len(raceAccountNames)
	has := false
	for i := range live {
		has = has || live[i].Version.Sequence == newest
	}
	return found && has
}

// askByIdentifier asks another node for each change: its answer must be the
// history's.
func (r *configRace) askByIdentifier(history []changelog.Record) {
	made := map[string]uint64{}
	for _, record := range history {
		made[record.ID] = record.Sequence
	}
	for i, change := range r.in.Changes {
		outcome, err := r.http[i%len(r.http)].Outcome(r.t.Context(), objectPath(change.Object), change.ID)
		if err != nil {
			r.t.Errorf("the outcome of %s: %v", change.ID, err)
			continue
		}
		sequence, found := made[change.ID]
		if found != (outcome.State == wire.OutcomeInForce) || found && outcome.Change.Sequence != sequence {
			r.t.Errorf("the outcome of %s is %+v, the history has %d", change.ID, outcome, sequence)
		}
	}
}

func objectOf(name string) int {
	for i, account := range raceAccountNames {
		if name == account {
			return i + 1
		}
	}
	return configcheck.Template
}

func objectPath(object int) client.Object {
	if object == configcheck.Template {
		return client.Template(raceTemplate)
	}
	return client.Account(raceAccountNames[object-1])
}

// raceOperator makes changes through one node after the other.
type raceOperator struct {
	r      *configRace
	n      int
	node   int
	made   int
	random *rand.Rand
	texts  [2]string
	// clients are those of the nodes.
	clients []*client.Client
}

func (r *configRace) operator(n int) *raceOperator {
	return &raceOperator{
		r: r, n: n, node: n % raceNodes, clients: r.http, random: rand.New(rand.NewPCG(r.seed, uint64(n))),
		texts: [2]string{string(readFile(r.t, "testdata/template.ini")), string(readFile(r.t, "testdata/account.ini"))},
	}
}

func (o *raceOperator) run() {
	for range o.r.changes {
		object := o.random.IntN(len(raceAccountNames) + 1)
		narrow, overwrite := o.random.IntN(3) == 0, o.random.IntN(4) == 0
		if sequence, ok := o.read(object); ok {
			if overwrite {
				sequence = changelog.AnySequence
			}
			o.change(object, sequence, narrow)
		}
		o.r.ended.Add(1)
	}
}

func (o *raceOperator) api() *client.Client { return o.clients[o.node] }

// elsewhere goes on with another node.
func (o *raceOperator) elsewhere() { o.node = (o.node + 1 + o.random.IntN(raceNodes-1)) % raceNodes }

// The lines that carry the marks, in the template and in an account.
var (
	templateMark = regexp.MustCompile(`max_answer_bytes = (\d+)`)
	accountMark  = regexp.MustCompile(`capacity_rps = (\d+)`)
)

func markLine(object int) *regexp.Regexp {
	if object == configcheck.Template {
		return templateMark
	}
	return accountMark
}

// read reads an object and notes it, unless the node told it from memory.
func (o *raceOperator) read(object int) (sequence uint64, ok bool) {
	began := o.r.now()
	document, err := o.api().Get(o.r.t.Context(), objectPath(object))
	if err != nil {
		o.elsewhere()
		return 0, false
	}
	mark, _ := strconv.ParseInt(markLine(object).FindStringSubmatch(document.Text)[1], 10, 64)
	if !document.FromMemory {
		o.r.mu.Lock()
		o.r.in.Reads = append(o.r.in.Reads, configcheck.Read{
			Operator: o.n, Object: object, Began: began, Ended: o.r.now(), Sequence: document.Sequence, Mark: mark,
		})
		o.r.mu.Unlock()
	}
	return document.Sequence, true
}

// change makes one change and notes what the operator was told in the end.
func (o *raceOperator) change(object int, ifSequence uint64, narrow bool) configcheck.Change {
	o.made++
	change := configcheck.Change{
		Operator: o.n, ID: fmt.Sprintf("change-%02d-%04d", o.n, o.made), Object: object,
		Mark: int64(2*1024*1024 + o.n*marksEach + o.made), IfSequence: ifSequence, Began: o.r.now(),
	}
	text := o.text(&change, narrow)
	o.put(&change, text)
	followed := change.Told == configcheck.Unknown
	for range raceRepeats {
		if change.Told != configcheck.Unknown {
			break
		}
		o.elsewhere()
		o.followUp(&change, text)
	}
	change.Ended = o.r.now()
	o.r.mu.Lock()
	defer o.r.mu.Unlock()
	if followed {
		o.r.followed++
	}
	o.r.in.Changes = append(o.r.in.Changes, change)
	return change
}

// text is the document with the change's mark. A narrow template permits no
// drain of an hour; a narrow account plans one.
func (o *raceOperator) text(change *configcheck.Change, narrow bool) string {
	text, more := o.texts[0], "\n[drains]\nlongest_seconds = 600\n"
	if change.Object != configcheck.Template {
		text = strings.Replace(o.texts[1], "name = alpenvlies", "name = "+raceAccountNames[change.Object-1], 1)
		more = "\n[drain night]\nplace = tirol-a\nstart = 2026-01-01T00:00:00Z\nend = 2026-01-01T01:00:00Z\nuntil = 2026-01-01T02:00:00Z\n"
	}
	line := markLine(change.Object).FindString(text)
	name, _, _ := strings.Cut(line, "=")
	text = strings.Replace(text, line, fmt.Sprintf("%s= %d", name, change.Mark), 1)
	if narrow {
		text += more
	}
	return text
}

func (o *raceOperator) put(change *configcheck.Change, text string) {
	match := client.At(change.IfSequence)
	switch change.IfSequence {
	case 0:
		match = client.Created()
	case changelog.AnySequence:
		match = client.Overwrite()
	}
	answer, err := o.api().Put(o.r.t.Context(), objectPath(change.Object), match, wire.ChangeRequest{ID: change.ID, Text: text})
	var refused *wire.Error
	switch {
	case err == nil:
		change.Told, change.Sequence = configcheck.Accepted, answer.Change.Sequence
	case errors.As(err, &refused) && refused.Outcome == result.Unknown.String():
		change.Told = configcheck.Unknown
	case errors.As(err, &refused) && refused.Conflict != nil:
		change.Told, change.Sequence = configcheck.Conflict, refused.Conflict.Current
	default:
		change.Told = configcheck.Refused
		if refused == nil {
			o.elsewhere()
		}
	}
}

// followUp asks by the identifier or repeats the change under it. Not seen, and
// a repeat that was refused for another reason than the object's sequence, leave
// it unknown: the first call may yet make it.
func (o *raceOperator) followUp(change *configcheck.Change, text string) {
	if o.random.IntN(2) == 0 {
		outcome, err := o.api().Outcome(o.r.t.Context(), objectPath(change.Object), change.ID)
		if err == nil && outcome.State == wire.OutcomeInForce {
			change.Told, change.Sequence = configcheck.Accepted, outcome.Change.Sequence
		}
		return
	}
	o.put(change, text)
	if change.Told == configcheck.Refused {
		change.Told = configcheck.Unknown
	}
}
