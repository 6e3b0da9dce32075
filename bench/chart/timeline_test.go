package chart

import (
	"bytes"
	"image/png"
	"os"
	"path/filepath"
	"testing"
)

// A timeline is one PNG of all its panels; one without panels is an error and
// not an empty picture.
func TestWriteTimeline(t *testing.T) {
	name := filepath.Join(t.TempDir(), "t.png")
	panel := Panel{Title: "a", Unit: "1/s", Lines: []Line{{Name: "p", Values: []float64{1, 2, 3}}}}
	timeline := &Timeline{Rows: [][]Panel{{panel, panel}}, Marks: []Mark{{Seconds: 1, Text: "event"}}}
	if err := WriteTimeline(timeline, name); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	picture, err := png.Decode(bytes.NewReader(content))
	if err != nil {
		t.Fatal(err)
	}
	if size := picture.Bounds().Size(); size.X < 3*size.Y {
		t.Errorf("two panels beside each other are %v", size)
	}
	if WriteTimeline(&Timeline{}, name) == nil {
		t.Error("an empty timeline was written")
	}
}
