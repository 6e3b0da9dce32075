package feed

import (
	"slices"
	"strings"

	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/membership/parts"
)

// version orders lists, and the parts of lists.
type version struct {
	epoch, sequence uint64
}

func (v version) later(other version) bool {
	if v.epoch != other.epoch {
		return v.epoch > other.epoch
	}
	return v.sequence > other.sequence
}

// part is one part of the list as it was last spread.
type part struct {
	version version
	body    string
	rows    []membership.VM
}

// partSet is the list as it was last spread.
type partSet struct {
	parts map[string]part
	// sum is the digest over parts.
	sum uint64
	// head names the newest list, digest is that of its parts.
	head   version
	digest uint64
	known  bool
}

func newPartSet() partSet { return partSet{parts: map[string]part{}} }

// put takes in a part, unless a later one is there. Unread counts rows that
// were left out.
func (s *partSet) put(key string, v version, body []byte) (unread int, err error) {
	if key == parts.HeadKey {
		return 0, s.putHead(v, body)
	}
	old := s.parts[key]
	if old.version.later(v) {
		return 0, nil
	}
	rows, unread, err := parts.Decode(body)
	if err != nil {
		return 0, err
	}
	s.sum += parts.Hash(key, body) - parts.Hash(key, []byte(old.body))
	s.parts[key] = part{version: v, body: string(body), rows: rows}
	return unread, nil
}

func (s *partSet) putHead(v version, body []byte) error {
	if s.known && s.head.later(v) {
		return nil
	}
	digest, err := parts.DecodeHead(body)
	if err != nil {
		return err
	}
	s.head, s.digest, s.known = v, digest, true
	return nil
}

// complete reports whether the parts are those of the newest list.
func (s *partSet) complete() bool { return s.known && s.sum == s.digest }

// list returns the rows of all parts, sorted by ID.
func (s *partSet) list() []membership.VM {
	var vms []membership.VM
	for _, p := range s.parts {
		vms = append(vms, p.rows...)
	}
	slices.SortFunc(vms, func(a, b membership.VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}

// differing returns the keys of the parts that are not as in bodies. Those that
// hold no rows any more are among them.
func (s *partSet) differing(bodies parts.Bodies) []string {
	var keys []string
	for key, body := range bodies {
		if s.parts[key].body != string(body) {
			keys = append(keys, key)
		}
	}
	for key, p := range s.parts {
		if _, stays := bodies[key]; !stays && p.body != "" {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
