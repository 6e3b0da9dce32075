package config

// Difference is a value that differs between two states of an account.
type Difference struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	// Before and After are "" where the value does not exist.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff lists the values in force that differ. Either state may be nil.
func Diff(before, after *Resolved) []Difference {
	old := valuesOf(before)
	var differences []Difference
	if after != nil {
		for _, v := range after.Values() {
			at := place{v.Section, v.Key}
			if old[at] != v.Value {
				differences = append(differences, Difference{v.Section, v.Key, old[at], v.Value})
			}
			delete(old, at)
		}
	}
	if before != nil {
		for _, v := range before.Values() {
			if gone, found := old[place{v.Section, v.Key}]; found {
				differences = append(differences, Difference{Section: v.Section, Key: v.Key, Before: gone})
			}
		}
	}
	return differences
}

type place struct{ section, key string }

func valuesOf(r *Resolved) map[place]string {
	values := map[place]string{}
	if r == nil {
		return values
	}
	for _, v := range r.Values() {
		values[place{v.Section, v.Key}] = v.Value
	}
	return values
}
