package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/anishathalye/porcupine"

	"github.com/yuccaroute/yuccaroute/config/changelog"
)

// Report is what the comparison found.
type Report struct {
	// Violations has one sentence each.
	Violations []string
	// Accepted, NotMade and Unknown count the changes by what was told, and
	// UnknownMade those of unknown outcome that the history has.
	Accepted, NotMade, Unknown, UnknownMade int
	// Reads and Seen count what was compared.
	Reads, Seen int
}

func (r *Report) violation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// Check compares.
func Check(in Input) *Report {
	c := &checker{in: in, report: &Report{Reads: len(in.Reads), Seen: len(in.Seen) + len(in.Last)}}
	c.readHistory()
	c.checkTold()
	c.checkOrder()
	c.checkNodes()
	c.checkLast()
	return c.report
}

type checker struct {
	in     Input
	report *Report
	// made holds the sequence of each change in the history.
	made map[string]uint64
	// cuts holds what was in force after each sequence, by object.
	cuts []map[int]effect
}

// effect is the last change of an object.
type effect struct {
	sequence uint64
	mark     int64
}

// readHistory works out what was in force after each change.
func (c *checker) readHistory() {
	marks := map[string]int64{}
	for i := range c.in.Changes {
		marks[c.in.Changes[i].ID] = c.in.Changes[i].Mark
	}
	history := slices.Clone(c.in.History)
	slices.SortFunc(history, func(a, b Record) int { return cmp.Compare(a.Sequence, b.Sequence) })
	c.made = map[string]uint64{}
	c.cuts = []map[int]effect{{}}
	for _, record := range history {
		if _, twice := c.made[record.ID]; twice {
			c.report.violation("change %s took effect twice", record.ID)
		}
		mark, known := marks[record.ID]
		if !known {
			c.report.violation("the history has change %s, which nobody made", record.ID)
		}
		if record.Sequence != uint64(len(c.cuts)) {
			c.report.violation("the history has sequence %d where %d is due", record.Sequence, len(c.cuts))
			return
		}
		c.made[record.ID] = record.Sequence
		cut := maps.Clone(c.cuts[len(c.cuts)-1])
		cut[record.Object] = effect{sequence: record.Sequence, mark: mark}
		c.cuts = append(c.cuts, cut)
	}
}

// checkTold holds what operators were told against the history.
func (c *checker) checkTold() {
	for i := range c.in.Changes {
		change := &c.in.Changes[i]
		sequence, made := c.made[change.ID]
		switch change.Told {
		case Accepted:
			c.report.Accepted++
			if sequence != change.Sequence {
				c.report.violation("accepted change %s is lost: told %d, found %d", change.ID, change.Sequence, sequence)
			}
		case Conflict, Refused:
			c.report.NotMade++
			if made {
				c.report.violation("refused change %s is in force at %d", change.ID, sequence)
			}
		default:
			c.report.Unknown++
			if made {
				c.report.UnknownMade++
			}
		}
	}
}

// checkOrder looks for an order of all calls that one operator alone could have
// seen. It is over the whole template, which includes each object by itself.
func (c *checker) checkOrder() {
	var operations []porcupine.Operation
	end := int64(0)
	for i := range c.in.Changes {
		end = max(end, c.in.Changes[i].Ended)
	}
	for _, change := range c.in.Changes {
		if sequence, made := c.made[change.ID]; change.Told == Unknown && made {
			change.Told, change.Sequence, change.Ended = Accepted, sequence, end+1
		}
		if change.Told == Accepted || change.Told == Conflict {
			operations = append(operations, porcupine.Operation{ClientId: change.Operator, Input: change, Call: change.Began, Return: change.Ended})
		}
	}
	for _, read := range c.in.Reads {
		operations = append(operations, porcupine.Operation{ClientId: read.Operator, Input: read, Call: read.Began, Return: read.Ended})
	}
	if !porcupine.CheckOperations(sequential, operations) {
		c.report.violation("the calls are not linearizable")
	}
}

// objects bounds the objects of one history.
const objects = 8

// state is a template with its accounts as one operator alone would see it.
type state struct {
	sequence uint64
	objects  [objects]effect
}

var sequential = porcupine.Model{
	Init: func() any { return state{} },
	Step: func(s, input, _ any) (bool, any) {
		before := s.(state)
		if read, ok := input.(Read); ok {
			return before.objects[read.Object] == effect{read.Sequence, read.Mark}, before
		}
		return step(before, input.(Change))
	},
}

func step(s state, change Change) (bool, any) {
	current := s.objects[change.Object].sequence
	matches := change.IfSequence == changelog.AnySequence || change.IfSequence == current
	if change.Told == Conflict {
		return !matches && change.Sequence == current, s
	}
	if !matches || change.Sequence != s.sequence+1 {
		return false, s
	}
	s.sequence++
	s.objects[change.Object] = effect{s.sequence, change.Mark}
	return true, s
}

// process is one process of a node and an account in force there.
type process struct {
	node    string
	process int
	account int
}

// checkNodes looks that no node went back and that all it had in force is a cut
// of the history: the template and the account as they were at one moment.
func (c *checker) checkNodes() {
	newest := map[process]Live{}
	for _, live := range c.in.Seen {
		at := process{live.Node, live.Process, live.Account}
		if before := newest[at]; live.Version.Less(before.Version) {
			c.report.violation("%s went back from %s to %s of account %d", live.Node, before.Version, live.Version, live.Account)
		}
		newest[at] = live
		c.checkCut(live)
	}
}

func (c *checker) checkCut(live Live) {
	sequence := live.Version.Sequence
	if sequence >= uint64(len(c.cuts)) {
		c.report.violation("%s has sequence %d in force, the history ends at %d", live.Node, sequence, len(c.cuts)-1)
		return
	}
	cut := c.cuts[sequence]
	template, account := cut[Template], cut[live.Account]
	if want := (Marks{template.mark, account.mark}); live.Marks != want {
		c.report.violation("%s has marks %v of account %d in force at sequence %d, the history has %v", live.Node, live.Marks, live.Account, sequence, want)
	}
	if sequence != max(template.sequence, account.sequence) {
		c.report.violation("%s has account %d in force at sequence %d, which changed neither it nor the template", live.Node, live.Account, sequence)
	}
}

// checkLast looks that the newest state of each account is in force on each
// node in the end.
func (c *checker) checkLast() {
	last := c.cuts[len(c.cuts)-1]
	for _, live := range c.in.Last {
		c.checkCut(live)
		if want := max(last[Template].sequence, last[live.Account].sequence); live.Version.Sequence != want {
			c.report.violation("%s has account %d in force at sequence %d in the end, want %d", live.Node, live.Account, live.Version.Sequence, want)
		}
	}
}
