package chart

import (
	"os"
	"strconv"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Size of one panel of a timeline.
const (
	panelWidth  = 14 * vg.Centimeter
	panelHeight = 8 * vg.Centimeter
	legendSize  = vg.Length(8)
	// legendRoom is the part of the height that one entry of the legend takes.
	legendRoom = 0.06
	// maxEntries of a legend get room of their own.
	maxEntries = 10
)

// Timeline is a chart of figures over time, in rows of panels that share their
// time axis.
type Timeline struct {
	// Rows have the same number of panels each.
	Rows  [][]Panel
	Marks []Mark
}

// Panel is one plot of a timeline.
type Panel struct {
	Title, Unit string
	Lines       []Line
}

// Line is one figure, a value for each second.
type Line struct {
	Name   string
	Values []float64
}

// Mark is a vertical line at a moment.
type Mark struct {
	Seconds float64
	Text    string
}

// WriteTimeline writes a timeline as one PNG file.
func WriteTimeline(t *Timeline, name string) error {
	if len(t.Rows) == 0 || len(t.Rows[0]) == 0 {
		return errors.New("chart: a timeline without panels")
	}
	plots := make([][]*plot.Plot, len(t.Rows))
	for i, row := range t.Rows {
		for j, panel := range row {
			p, err := t.plot(panel, j == len(row)-1)
			if err != nil {
				return errors.Wrapf(err, "chart: panel %s", panel.Title)
			}
			plots[i] = append(plots[i], p)
		}
	}
	return save(plots, name)
}

// plot draws a panel. The marks are named in one panel of a row.
func (t *Timeline) plot(panel Panel, named bool) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = panel.Title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = panel.Unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.TextStyle.Font.Size = legendSize
	p.Add(plotter.NewGrid())
	p.X.Tick.Marker = plot.ConstantTicks(secondTicks(panel))
	top := 0.0
	for i, line := range panel.Lines {
		drawn, err := plotter.NewLine(bySecond(line.Values))
		if err != nil {
			return nil, errors.Wrap(err, line.Name)
		}
		drawn.Color = plotutil.Color(i)
		p.Add(drawn)
		p.Legend.Add(line.Name, drawn)
		for _, value := range line.Values {
			top = max(top, value)
		}
	}
	entries := len(panel.Lines)
	if named {
		entries += len(t.Marks)
	}
	p.Y.Max = top / (1 - legendRoom*float64(min(entries, maxEntries)))
	return p, t.addMarks(p, top, named)
}

// addMarks draws the marks up to the highest value.
func (t *Timeline) addMarks(p *plot.Plot, top float64, named bool) error {
	for _, mark := range t.Marks {
		line, err := plotter.NewLine(plotter.XYs{{X: mark.Seconds}, {X: mark.Seconds, Y: top}})
		if err != nil {
			return errors.Wrap(err, mark.Text)
		}
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		p.Add(line)
		if named {
			p.Legend.Add(mark.Text, line)
		}
	}
	return nil
}

// tickSeconds is the time between two ticks.
const tickSeconds = 5

func secondTicks(panel Panel) []plot.Tick {
	seconds := 0
	for _, line := range panel.Lines {
		seconds = max(seconds, len(line.Values))
	}
	var ticks []plot.Tick
	for second := 0; second <= seconds; second += tickSeconds {
		ticks = append(ticks, plot.Tick{Value: float64(second), Label: strconv.Itoa(second)})
	}
	return ticks
}

// bySecond places each value in the middle of its second.
func bySecond(values []float64) plotter.XYs {
	points := make(plotter.XYs, len(values))
	for i, value := range values {
		points[i].X, points[i].Y = float64(i)+0.5, value
	}
	return points
}

func save(plots [][]*plot.Plot, name string) error {
	rows, columns := len(plots), len(plots[0])
	image := vgimg.New(panelWidth*vg.Length(columns), panelHeight*vg.Length(rows))
	tiles := draw.Tiles{
		Rows: rows, Cols: columns,
		PadX: vg.Points(8), PadY: vg.Points(12), PadLeft: vg.Points(4), PadRight: vg.Points(12), PadTop: vg.Points(8),
	}
	canvases := plot.Align(plots, tiles, draw.New(image))
	for i := range plots {
		for j := range plots[i] {
			plots[i][j].Draw(canvases[i][j])
		}
	}
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "chart: make file")
	}
	if _, err := (vgimg.PngCanvas{Canvas: image}).WriteTo(file); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "chart: write "+name)
	}
	return errors.Wrap(file.Close(), "chart: write "+name)
}
