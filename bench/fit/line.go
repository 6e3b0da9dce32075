// Package fit draws a straight line through measured points and checks what
// it foretells at a size that was left out.
package fit

import (
	"math"

	"github.com/pkg/errors"
)

// Point is one measurement: Value at Size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Line is value = Intercept + Slope*size.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Spread is the largest difference between a point and the line, relative
	// to the line's value there.
	Spread float64 `json:"spread"`
	// R2 is the part of the variance that the line explains.
	R2     float64 `json:"r2"`
	Points []Point `json:"points"`
}

// minPoints is the fewest sizes that show whether a line fits at all.
const minPoints = 3

// Of returns the line with the least sum of squared relative errors: each
// point weighs 1/value², so that large sizes do not hide a poor fit at small
// ones. It needs three points of different size and positive value.
func Of(points []Point) (*Line, error) {
	if len(points) < minPoints {
		return nil, errors.Errorf("%d points, want at least %d", len(points), minPoints)
	}
	var w, wx, wy, wxx, wxy float64
	for _, p := range points {
		if p.Value <= 0 {
			return nil, errors.Errorf("value %v at size %v is not positive", p.Value, p.Size)
		}
		weight := 1 / (p.Value * p.Value)
		w += weight
		wx += weight * p.Size
		wy += weight * p.Value
		wxx += weight * p.Size * p.Size
		wxy += weight * p.Size * p.Value
	}
	determinant := w*wxx - wx*wx
	if determinant <= 1e-12*w*wxx {
		return nil, errors.New("all points have the same size")
	}
	line := &Line{Points: points}
	line.Slope = (w*wxy - wx*wy) / determinant
	line.Intercept = (wy - line.Slope*wx) / w
	line.rate()
	return line, nil
}

// At returns the line's value at a size.
func (l *Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

func (l *Line) rate() {
	mean := 0.0
	for _, p := range l.Points {
		mean += p.Value / float64(len(l.Points))
	}
	var residual, total float64
	for _, p := range l.Points {
		at := l.At(p.Size)
		residual += (p.Value - at) * (p.Value - at)
		total += (p.Value - mean) * (p.Value - mean)
		l.Spread = max(l.Spread, math.Abs(p.Value-at)/math.Abs(at))
	}
	if total > 0 {
		l.R2 = 1 - residual/total
	}
}

// Forecast compares a line with a size it was not fitted to.
type Forecast struct {
	Line     *Line   `json:"line"`
	Size     float64 `json:"size"`
	Foretold float64 `json:"foretold"`
	Measured float64 `json:"measured"`
	// Error is (measured - foretold) / foretold.
	Error float64 `json:"error"`
}

// Check fits the line to all points but the largest and compares it with the
// largest.
func Check(points []Point) (*Forecast, error) {
	if len(points) <= minPoints {
		return nil, errors.Errorf("%d points, want at least %d", len(points), minPoints+1)
	}
	largest := 0
	for i := range points {
		if points[i].Size > points[largest].Size {
			largest = i
		}
	}
	rest := append([]Point(nil), points[:largest]...)
	rest = append(rest, points[largest+1:]...)
	line, err := Of(rest)
	if err != nil {
		return nil, err
	}
	f := &Forecast{Line: line, Size: points[largest].Size, Measured: points[largest].Value}
	f.Foretold = line.At(f.Size)
	f.Error = (f.Measured - f.Foretold) / f.Foretold
	return f, nil
}
