package fit

import (
	"math"
	"testing"
)

func TestLineAndForecast(t *testing.T) {
	var points []Point
	for _, size := range []float64{10, 50, 150, 330} {
		points = append(points, Point{Size: size, Value: 7 + 2*size})
	}
	f, err := Check(points)
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(f.Line.Slope-2) > 1e-9 || math.Abs(f.Line.Intercept-7) > 1e-9 || f.Line.Spread > 1e-9 {
		t.Errorf("line %+v, want 7 + 2x", f.Line)
	}
	if math.Abs(f.Error) > 1e-9 || f.Size != 330 {
		t.Errorf("forecast %+v", f)
	}
}

// A cost that grows with the square of the size must not pass for a line.
func TestForecastShowsACurve(t *testing.T) {
	var points []Point
	for _, size := range []float64{10, 50, 150, 330} {
		points = append(points, Point{Size: size, Value: size * size})
	}
	f, err := Check(points)
	if err != nil {
		t.Fatal(err)
	}
	if f.Error < 1 {
		t.Errorf("forecast error %v, want over 1", f.Error)
	}
}

func TestTooLittleToFit(t *testing.T) {
	for _, points := range [][]Point{
		{{1, 1}, {2, 2}},
		{{1, 1}, {1, 2}, {1, 3}},
		{{1, 1}, {2, 0}, {3, 3}},
	} {
		if _, err := Of(points); err == nil {
			t.Errorf("%v was fitted", points)
		}
	}
}
