package dogwoodburnreport

import (
	"bytes"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"dogwoodmux.example/core/decision/dogwoodburn"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// Plot writes a plot of the burn rates of the last hour. The format is one that gonum/plot
// supports, such as "svg" or "png".
func Plot(writer io.Writer, report *dogwoodburn.Report, format string) error {
	drawing := plot.New()
	drawing.Title.Text = "Burn rate by service, minute by minute (1 spends just the budget)"
	drawing.X.Tick.Marker = plot.TimeTicks{Format: "15:04", Time: plot.UTCUnixTime}
	drawing.X.Label.Text = "UTC"
	drawing.Y.Label.Text = "burn rate"
	drawing.Y.Min = 0
	drawing.Legend.Top = true
	drawing.Add(plotter.NewGrid())
	var lines []any
	for _, series := range report.Series {
		lines = append(lines, string(series.Service), plotPoints(series))
	}
	if err := plotutil.AddLinePoints(drawing, lines...); err != nil {
		return Error.Wrap(err)
	}
	drawing.Y.Max = max(drawing.Y.Max, 1)
	image, err := drawing.WriterTo(plotWidth, plotHeight, format)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = image.WriteTo(writer)
	return Error.Wrap(err)
}

func plotPoints(series dogwoodburn.Series) plotter.XYs {
	values := make(plotter.XYs, len(series.Points))
	for i, point := range series.Points {
		values[i] = plotter.XY{X: float64(point.At.Unix()), Y: point.Burn}
	}
	return values
}

// inlineSVG returns the plot as an svg element that can be embedded in HTML.
func inlineSVG(report *dogwoodburn.Report) (string, error) {
	var buffer bytes.Buffer
	if err := Plot(&buffer, report, "svg"); err != nil {
		return "", err
	}
	image := buffer.Bytes()
	start := bytes.Index(image, []byte("<svg"))
	if start < 0 {
		return "", Error.New("the plot has no svg element")
	}
	return string(image[start:]), nil
}
