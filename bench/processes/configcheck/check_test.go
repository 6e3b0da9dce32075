package configcheck

import (
	"slices"
	"strings"
	"testing"

	"github.com/yuccaroute/yuccaroute/config/changelog"
)

func at(sequence uint64) changelog.Version { return changelog.Version{Epoch: 1, Sequence: sequence} }

// sound is a short history without a fault: a template, an account, a change of
// unknown outcome that was made, one that was not, a conflict and a refusal.
func sound() Input {
	live := []Live{
		{Node: "a", Account: 1, Version: at(2), Marks: Marks{10, 20}},
		{Node: "a", Account: 1, Version: at(3), Marks: Marks{10, 21}},
		{Node: "a", Process: 1, Account: 1, Version: at(2), Marks: Marks{10, 20}},
	}
	return Input{
		Changes: []Change{
			{ID: "t1", Object: Template, Mark: 10, Began: 1, Ended: 2, Told: Accepted, Sequence: 1},
			{ID: "a1", Object: 1, Mark: 20, Began: 3, Ended: 4, Told: Accepted, Sequence: 2},
			{ID: "a2", Operator: 1, Object: 1, Mark: 21, IfSequence: 2, Began: 5, Ended: 6, Told: Unknown},
			{ID: "a3", Operator: 2, Object: 1, Mark: 22, IfSequence: 2, Began: 7, Ended: 8, Told: Conflict, Sequence: 3},
			{ID: "a4", Operator: 2, Object: 1, Mark: 23, IfSequence: 3, Began: 9, Ended: 10, Told: Refused},
			{ID: "a5", Operator: 3, Object: 1, Mark: 24, IfSequence: 3, Began: 9, Ended: 10, Told: Unknown},
		},
		Reads:   []Read{{Operator: 4, Object: 1, Began: 7, Ended: 8, Sequence: 3, Mark: 21}},
		Seen:    live,
		Last:    live[1:2],
		History: []Record{{"a2", 1, 3}, {"a1", 1, 2}, {"t1", Template, 1}},
	}
}

// Each case plants one error that a fault of the system would leave behind. A
// check that misses one would call a broken promise kept.
func TestPlantedErrorsAreFound(t *testing.T) {
	cases := []struct {
		name  string
		plant func(*Input)
		found string
	}{
		{"a node steps back", func(in *Input) { in.Seen = append(in.Seen, in.Seen[0]) }, "went back"},
		{"an accepted change is lost", func(in *Input) {
			in.Changes[3].Told, in.Changes[3].Sequence = Accepted, 4
		}, "accepted change a3 is lost"},
		{"an accepted change has another sequence", func(in *Input) { in.Changes[1].Sequence = 5 }, "accepted change a1 is lost"},
		{"a refused change is made", func(in *Input) { in.History = append(in.History, Record{"a4", 1, 4}) }, "refused change a4"},
		{"a change in conflict is made", func(in *Input) { in.History = append(in.History, Record{"a3", 1, 4}) }, "refused change a3"},
		{"a refused change is in force on a node", func(in *Input) {
			in.Seen = append(in.Seen, Live{Node: "b", Account: 1, Version: at(3), Marks: Marks{10, 23}})
		}, "has marks"},
		{"a node is ahead of the store", func(in *Input) {
			in.Seen = append(in.Seen, Live{Node: "b", Account: 1, Version: at(4), Marks: Marks{10, 24}})
		}, "the history ends"},
		{"a node mixes two cuts", func(in *Input) {
			in.Changes = append(in.Changes, Change{ID: "t2", Object: Template, Mark: 11, IfSequence: 1, Began: 11, Ended: 12, Told: Accepted, Sequence: 4})
			in.History = append(in.History, Record{"t2", Template, 4})
			in.Last = []Live{{Node: "a", Account: 1, Version: at(4), Marks: Marks{11, 20}}}
		}, "has marks"},
		{"a change is not in force in the end", func(in *Input) { in.Last = in.Seen[:1] }, "in the end"},
		{"a change is made twice", func(in *Input) { in.History = append(in.History, Record{"a2", 1, 4}) }, "twice"},
		{"nobody made a change", func(in *Input) { in.History = append(in.History, Record{"x", 1, 4}) }, "nobody made"},
		{"the history has a gap", func(in *Input) { in.History[0].Sequence = 4 }, "where 3 is due"},
		{"a read is stale", func(in *Input) {
			in.Reads = append(in.Reads, Read{Object: 1, Began: 9, Ended: 10, Sequence: 2, Mark: 20})
		}, "not linearizable"},
		{"a change passes its precondition", func(in *Input) {
			in.Changes[2].IfSequence = 1
		}, "not linearizable"},
		{"a conflict names a wrong sequence", func(in *Input) { in.Changes[3].Sequence = 1 }, "not linearizable"},
	}
	if r := Check(sound()); len(r.Violations) != 0 || r.UnknownMade != 1 || r.Seen != 4 {
		t.Fatalf("the sound history: %+v", r)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := sound()
			c.plant(&in)
			r := Check(in)
			if !slices.ContainsFunc(r.Violations, func(v string) bool { return strings.Contains(v, c.found) }) {
				t.Errorf("found %q, want one with %q", r.Violations, c.found)
			}
		})
	}
}
