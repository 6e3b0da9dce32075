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

func (v version) newerThan(other version) bool {
	if v.epoch != other.epoch {
		return v.epoch > other.epoch
	}
	return v.sequence > other.sequence
}

// part is one replicated part of the list.
type part struct {
	version version
	body    string
	rows    []membership.VM
}

// partSet holds the replicated parts and the head of the list.
type partSet struct {
	parts map[string]part
	// partsDigest is the digest of parts.
	partsDigest uint64
	// head is the version of the newest list and headDigest its digest, if
	// hasHead is set.
	head       version
	headDigest uint64
	hasHead    bool
}

func newPartSet() partSet { return partSet{parts: map[string]part{}} }

// put stores a part unless it is older than the one stored. It returns the number
// of invalid rows that were skipped.
func (s *partSet) put(key string, v version, body []byte) (skipped int, err error) {
	if key == parts.HeadKey {
		return 0, s.putHead(v, body)
	}
	old := s.parts[key]
	if old.version.newerThan(v) {
		return 0, nil
	}
	rows, skipped, err := parts.Decode(body)
	if err != nil {
		return 0, err
	}
	s.partsDigest += parts.Hash(key, body) - parts.Hash(key, []byte(old.body))
	s.parts[key] = part{version: v, body: string(body), rows: rows}
	return skipped, nil
}

func (s *partSet) putHead(v version, body []byte) error {
	if s.hasHead && s.head.newerThan(v) {
		return nil
	}
	digest, err := parts.DecodeHead(body)
	if err != nil {
		return err
	}
	s.head, s.headDigest, s.hasHead = v, digest, true
	return nil
}

// complete reports whether the parts match the digest of the newest list.
func (s *partSet) complete() bool { return s.hasHead && s.partsDigest == s.headDigest }

// list returns the rows of all parts, sorted by ID.
func (s *partSet) list() []membership.VM {
	var vms []membership.VM
	for _, p := range s.parts {
		vms = append(vms, p.rows...)
	}
	slices.SortFunc(vms, func(a, b membership.VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}

// changedKeys returns the sorted keys of the parts that differ from bodies,
// including parts that are now empty.
func (s *partSet) changedKeys(bodies parts.Bodies) []string {
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
