package dogwoodsettings

import (
	"bytes"
	"fmt"
	"strings"
)

// Problem is one thing that is wrong in a settings file.
type Problem struct {
	// Line and Column count from 1; they are 0 if the message itself contains the position.
	Line   int `json:",omitempty"`
	Column int `json:",omitempty"`
	// Path locates the field, for example "Services[1].Deadline".
	Path    string `json:",omitempty"`
	Message string
}

// String formats the problem like a compiler error: line:column: path: message.
func (problem Problem) String() string {
	var text strings.Builder
	if problem.Line > 0 {
		fmt.Fprintf(&text, "%d:%d: ", problem.Line, problem.Column)
	}
	if problem.Path != "" {
		text.WriteString(problem.Path + ": ")
	}
	text.WriteString(problem.Message)
	return text.String()
}

// Problems is the error returned for a settings file. It lists everything that is wrong.
type Problems struct {
	List []Problem
}

// Error returns the problems, one per line.
func (problems *Problems) Error() string {
	lines := make([]string, len(problems.List))
	for i, problem := range problems.List {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// report collects problems and records the offset of each field in the source.
type report struct {
	source   []byte
	offsets  map[string]int
	problems []Problem
}

func newReport(source []byte) *report {
	return &report{source: source, offsets: map[string]int{}}
}

// add reports a problem at the field, or at the nearest enclosing field that is in the source.
func (report *report) add(path, format string, arguments ...any) {
	report.addAtOffset(report.offset(path), path, fmt.Sprintf(format, arguments...))
}

func (report *report) addAtOffset(offset int, path, message string) {
	line, column := position(report.source, offset)
	report.problems = append(report.problems, Problem{Line: line, Column: column, Path: path, Message: message})
}

func (report *report) offset(path string) int {
	for path != "" {
		if offset, known := report.offsets[path]; known {
			return offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return report.offsets[""]
}

// position converts an offset to a line and column, both from 1. Columns count bytes.
func position(source []byte, offset int) (line, column int) {
	before := source[:min(max(offset, 0), len(source))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
