// Package dogwoodchart draws charts of results: the time to the first token by prompt length, and the
// outcomes over time with the steps carried out on the system.
package dogwoodchart

import (
	"fmt"
	"image/color"
	"io"
	"math"
	"strconv"
	"time"

	"github.com/zeebo/errs"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"dogwoodmux.example/dogwoodload/dogwoodresult"
)

// Error is the class of this package's errors.
var Error = errs.Class("chart")

const (
	width  = 24 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// FirstToken draws, for each result, the 50th and 95th percentile of the time to the first token by
// prompt length. Both axes are logarithmic, because prompt lengths and times each span three orders
// of magnitude.
func FirstToken(writer io.Writer, format string, results ...*dogwoodresult.Result) error {
	drawing := plot.New()
	drawing.Title.Text = "Time to first token by prompt length"
	drawing.X.Label.Text = "prompt tokens, up to"
	drawing.Y.Label.Text = "seconds"
	drawing.X.Scale, drawing.Y.Scale = plot.LogScale{}, plot.LogScale{}
	drawing.X.Tick.Marker, drawing.Y.Tick.Marker = decadeTicks{}, decadeTicks{}
	drawing.Legend.Top, drawing.Legend.Left = true, true
	drawing.Add(plotter.NewGrid())
	for index, result := range results {
		if err := addFirstToken(drawing, index, result); err != nil {
			return err
		}
	}
	return write(writer, drawing, format)
}

func addFirstToken(drawing *plot.Plot, index int, result *dogwoodresult.Result) error {
	quantiles := []struct {
		name string
		of   func(dogwoodresult.FirstToken) dogwoodresult.Duration
	}{
		{"P50", func(class dogwoodresult.FirstToken) dogwoodresult.Duration { return class.P50 }},
		{"P95", func(class dogwoodresult.FirstToken) dogwoodresult.Duration { return class.P95 }},
	}
	for dashes, quantile := range quantiles {
		var values plotter.XYs
		for _, class := range result.FirstToken {
			seconds := time.Duration(quantile.of(class)).Seconds()
			values = append(values, plotter.XY{X: float64(class.UpTo), Y: math.Max(seconds, minSeconds)})
		}
		if len(values) == 0 {
			continue
		}
		line, marks, err := plotter.NewLinePoints(values)
		if err != nil {
			return Error.Wrap(err)
		}
		line.Color, marks.Color = plotutil.Color(index), plotutil.Color(index)
		line.Dashes = plotutil.Dashes(dashes)
		marks.Shape = plotutil.Shape(index)
		drawing.Add(line, marks)
		drawing.Legend.Add(fmt.Sprintf("%s %s", result.Policy, quantile.name), line, marks)
	}
	return nil
}

// decadeTicks places ticks at 1, 2 and 5 times each power of ten. plot.LogTicks labels only the powers
// of ten, so an axis from one to nine seconds would have a single label.
type decadeTicks struct{}

// Ticks returns the ticks from low to high.
func (decadeTicks) Ticks(low, high float64) []plot.Tick {
	var ticks []plot.Tick
	for power := math.Floor(math.Log10(low)); power <= math.Ceil(math.Log10(high)); power++ {
		for _, digit := range []float64{1, 2, 5} {
			value := digit * math.Pow(10, power)
			if value >= low && value <= high {
				ticks = append(ticks, plot.Tick{Value: value, Label: strconv.FormatFloat(value, 'f', -1, 64)})
			}
		}
	}
	return ticks
}

// minSeconds replaces shorter times, so that their logarithm is finite.
const minSeconds = 1e-4

// Service draws the outcomes by the second in which the requests were sent, with a vertical line at
// each event.
func Service(writer io.Writer, format string, result *dogwoodresult.Result) error {
	drawing := plot.New()
	drawing.Title.Text = fmt.Sprintf("Service over time: %s, policy %s, seed %d", result.Scenario, result.Policy, result.Seed)
	drawing.X.Label.Text = "seconds"
	drawing.Y.Label.Text = "requests sent in that second"
	drawing.Legend.Top = true
	drawing.Y.Min = 0
	drawing.Add(plotter.NewGrid())
	curves := []struct {
		name  string
		color color.Color
		of    func(dogwoodresult.Second) int
	}{
		{"sent", color.Gray{Y: 150}, func(second dogwoodresult.Second) int { return second.Sent }},
		{"answered in time", color.RGBA{G: 130, B: 60, A: 255}, func(second dogwoodresult.Second) int { return second.InTime }},
		{"refused, not run", color.RGBA{R: 220, G: 140, A: 255}, func(second dogwoodresult.Second) int { return second.RefusedNotRun }},
		{"late, failed, unknown or lost", color.RGBA{R: 200, A: 255}, func(second dogwoodresult.Second) int { return second.Bad }},
	}
	for _, curve := range curves {
		values := make(plotter.XYs, len(result.Timeline))
		for i, second := range result.Timeline {
			values[i] = plotter.XY{X: time.Duration(second.At).Seconds(), Y: float64(curve.of(second))}
		}
		line, err := plotter.NewLine(values)
		if err != nil {
			return Error.Wrap(err)
		}
		line.Color, line.Width = curve.color, vg.Points(1.5)
		drawing.Add(line)
		drawing.Legend.Add(curve.name, line)
	}
	if err := addEvents(drawing, result.Events); err != nil {
		return err
	}
	return write(writer, drawing, format)
}

// headroom is the height of the Y axis relative to the highest value. The space above that value is
// for the legend and the names of the events.
const headroom = 1.75

func addEvents(drawing *plot.Plot, events []dogwoodresult.Event) error {
	top := drawing.Y.Max
	drawing.Y.Max = top * headroom
	for i, event := range events {
		at := time.Duration(event.At).Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: drawing.Y.Max}})
		if err != nil {
			return Error.Wrap(err)
		}
		line.Color, line.Dashes = color.Gray{Y: 90}, plotutil.Dashes(1)
		// The heights of the names alternate, so that the names of events close in time don't overlap.
		position := plotter.XY{X: at, Y: top * (1.05 + 0.07*float64(i%6))}
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{position}, Labels: []string{" " + event.What}})
		if err != nil {
			return Error.Wrap(err)
		}
		drawing.Add(line, labels)
	}
	return nil
}

func write(writer io.Writer, drawing *plot.Plot, format string) error {
	image, err := drawing.WriterTo(width, height, format)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = image.WriteTo(writer)
	return Error.Wrap(err)
}
