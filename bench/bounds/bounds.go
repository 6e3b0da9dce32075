// Package bounds holds benchmark results against committed bounds. Bounds are
// counts (allocations, bytes) and ratios between two benchmarks of one run,
// so that they give the same verdict on any machine.
//
// The package reads the output of go test -bench; it never runs anything:
//
//	go test -run '^$' -bench . -benchmem ./... | yuccaroute bench check
package bounds

import (
	"io/fs"
	"path"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// FileName is the name of a module's bounds file.
const FileName = "bounds.ini"

// Keys of a section.
const (
	keyAllocs  = "allocs_per_op_max"
	keyBytes   = "bytes_per_op_max"
	keyRatioTo = "ratio_to"
	keyRatio   = "ratio_max"
)

// Bound is what one benchmark may cost. A nil limit is not checked.
type Bound struct {
	// Module is the directory of the bounds file, the last element of the
	// module's path.
	Module string
	// Benchmark is the name as printed, without the -N suffix.
	Benchmark string
	Allocs    *float64
	Bytes     *float64
	// Ratio bounds the time of Benchmark divided by that of RatioTo.
	Ratio   *float64
	RatioTo string
}

// ReadTree reads bounds.ini of every module directly below root.
func ReadTree(root fs.FS) ([]Bound, error) {
	files, err := fs.Glob(root, "*/"+FileName)
	if err != nil {
		return nil, errors.Wrap(err, "find bounds files")
	}
	var all []Bound
	for _, file := range files {
		text, err := fs.ReadFile(root, file)
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", file)
		}
		bounds, err := Parse(path.Dir(file), text)
		if err != nil {
			return nil, errors.Wrap(err, filepath.ToSlash(file))
		}
		all = append(all, bounds...)
	}
	return all, nil
}

// Parse reads the text of one module's bounds file.
func Parse(module string, text []byte) ([]Bound, error) {
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, text)
	if err != nil {
		return nil, errors.Wrap(err, "parse bounds")
	}
	var all []Bound
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		bound, err := parseSection(module, section)
		if err != nil {
			return nil, errors.Wrapf(err, "section %q", section.Name())
		}
		all = append(all, bound)
	}
	return all, nil
}

func parseSection(module string, section *ini.Section) (Bound, error) {
	bound := Bound{Module: module, Benchmark: section.Name()}
	if !strings.HasPrefix(bound.Benchmark, "Benchmark") {
		return bound, errors.New("the section is not the name of a benchmark")
	}
	limits := map[string]**float64{keyAllocs: &bound.Allocs, keyBytes: &bound.Bytes, keyRatio: &bound.Ratio}
	for _, key := range section.Keys() {
		if key.Name() == keyRatioTo {
			bound.RatioTo = key.String()
			continue
		}
		limit, known := limits[key.Name()]
		if !known {
			return bound, errors.Errorf("unknown key %q", key.Name())
		}
		value, err := key.Float64()
		if err != nil || value < 0 {
			return bound, errors.Errorf("key %q: %q is not a number of at least 0", key.Name(), key.String())
		}
		*limit = &value
	}
	if (bound.Ratio == nil) != (bound.RatioTo == "") {
		return bound, errors.Errorf("keys %q and %q go together", keyRatio, keyRatioTo)
	}
	return bound, nil
}
