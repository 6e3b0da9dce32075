package main

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
	"github.com/yuccaroute/yuccaroute/demo"
)

// startTime bounds the start of a whole system; it is no measurement.
const startTime = time.Minute

// startSystem starts a whole system and returns the administration addresses
// of its nodes.
func startSystem(t *testing.T) []string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTime)
	defer cancel()
	world, err := demo.NewWorld(ctx, 1, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(world.Close)
	if err := world.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	var addresses []string
	for _, tenant := range world.Tenants {
		for _, n := range tenant.Nodes {
			addresses = append(addresses, n.AdminAddress())
		}
	}
	return addresses
}

// answer is what one run of the tool gave.
type answer struct {
	out, notes string
	err        error
}

func (a answer) code() int { return program.CodeOf(a.err) }

// tool runs the program with its flags for the nodes.
type tool struct {
	t     *testing.T
	flags []string
}

func toolFor(t *testing.T, nodes ...string) *tool {
	all := &tool{t: t}
	for _, node := range nodes {
		all.flags = append(all.flags, "--node", node)
	}
	return all
}

func (o *tool) run(args ...string) answer {
	o.t.Helper()
	var out, notes bytes.Buffer
	root := newRoot()
	root.SetOut(&out)
	root.SetErr(&notes)
	root.SetArgs(append(append([]string{}, o.flags...), args...))
	err := root.Execute()
	return answer{out: out.String(), notes: notes.String(), err: err}
}

// must runs the program and wants an exit code.
func (o *tool) must(code int, args ...string) answer {
	o.t.Helper()
	a := o.run(args...)
	if a.code() != code {
		o.t.Fatalf("%v: exit code %d, want %d\nerror: %v\n%s%s", args, a.code(), code, a.err, a.out, a.notes)
	}
	return a
}

// read runs the program and reads its JSON.
func (o *tool) read(into any, args ...string) {
	o.t.Helper()
	a := o.must(program.ExitOK, append(args, "-o", "json")...)
	if err := json.Unmarshal([]byte(a.out), into); err != nil {
		o.t.Fatalf("%v: %v\n%s", args, err, a.out)
	}
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func wantText(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("%q is not in:\n%s", part, text)
		}
	}
}

// wantSame wants a text to be that of a file.
func wantSame(t *testing.T, text, file string) {
	t.Helper()
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if string(content) != text {
		t.Errorf("the file is\n%s\nwant\n%s", content, text)
	}
}
