package dogwoodburnreport

import (
	_ "embed" // for the page's template
	"fmt"
	"html/template"
	"io"

	"dogwoodmux.example/core/decision/dogwoodburn"
)

//go:embed page.html
var pageSource string

var page = template.Must(template.New("page").Parse(pageSource))

type pageData struct {
	At      string
	Daemons []pageDaemon
	Missing []pageMissing
	Header  []string
	Rows    []pageRow
	Plot    template.HTML
}

type pageDaemon struct {
	VM, Instance, Until, KeptBy string
}

type pageMissing struct {
	VM, Since, Why string
}

type pageRow struct {
	Class string
	Cells []string
}

// HTML writes a page with styles and plot in it, so that it can be mailed or kept.
func HTML(writer io.Writer, report *dogwoodburn.Report) error {
	image, err := inlineSVG(report)
	if err != nil {
		return err
	}
	data := pageData{
		At:     report.At.UTC().Format(timeFormat),
		Header: header(),
		Plot:   template.HTML(image), //nolint:gosec // drawn by gonum/plot, which escapes the texts in it
	}
	for _, daemon := range report.Daemons {
		data.Daemons = append(data.Daemons, pageDaemon{
			VM:       string(daemon.VM),
			Instance: string(daemon.Instance),
			Until:    daemon.Until.UTC().Format(timeFormat),
			KeptBy:   string(daemon.KeptBy),
		})
	}
	for _, missing := range report.Missing {
		data.Missing = append(data.Missing, pageMissing{
			VM:    string(missing.VM),
			Since: sinceText(missing.Since),
			Why:   missing.Why,
		})
	}
	for i := range report.Lines {
		line := &report.Lines[i]
		data.Rows = append(data.Rows, pageRow{Class: rowClass(line), Cells: cells(line)})
	}
	return Error.Wrap(page.Execute(writer, data))
}

func rowClass(line *dogwoodburn.Line) string {
	switch {
	case line.Alert != "":
		return fmt.Sprintf("alert-%s", line.Alert)
	case line.BudgetLeft < 0:
		return "spent"
	default:
		return ""
	}
}
