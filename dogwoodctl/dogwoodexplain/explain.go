// Package dogwoodexplain holds the subcommand that explains the outcome of one request from
// the logs of all daemons.
package dogwoodexplain

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"dogwoodmux.example/core/dogwoodsubcommand"
	"dogwoodmux.example/dogwoodctl/dogwoodcommand"
	"dogwoodmux.example/dogwoodctl/dogwoodfactory"
)

// Options holds the arguments and dependencies of explain.
type Options struct {
	Factory *dogwoodfactory.Factory
	ID      string
	Files   []string
	// Open opens a log file. Tests replace it.
	Open func(name string) (io.ReadCloser, error)
}

// NewExplain returns the subcommand that explains the outcome of one request. run replaces
// its implementation in tests; nil means the real one.
func NewExplain(factory *dogwoodfactory.Factory, run func(context.Context, *Options) error) *dogwoodsubcommand.Command {
	options := &Options{Factory: factory, Open: func(name string) (io.ReadCloser, error) { return os.Open(name) }}
	if run == nil {
		run = Run
	}
	return dogwoodcommand.New(dogwoodsubcommand.Spec{
		Name:      "explain",
		Synopsis:  "tell what became of one request, from log files",
		Arguments: "ID FILE [FILE ...]",
		Help: `Puts the log lines of all daemons about one request in order and says what became of it.
Lines that are not JSON are passed over, also words before the JSON of a line.`,
		Examples: []string{"dogwoodctl explain 9c41d07be2a35f68 entry-1.log entry-2.log"},
		SetFlags: func(*flag.FlagSet) {},
		Run: func(ctx context.Context, arguments []string) error {
			if len(arguments) < 2 { //nolint:mnd // an ID and a file
				return dogwoodsubcommand.NewUsageError("give a request's ID and at least one log file")
			}
			options.ID, options.Files = arguments[0], arguments[1:]
			return run(ctx, options)
		},
		Err: factory.Streams.Err,
	})
}

// line is a log line about the request.
type line struct {
	file   string
	fields map[string]any
}

func (line *line) text(field string) string {
	value, ok := line.fields[field]
	if !ok {
		return ""
	}
	return fmt.Sprint(value)
}

// duration returns the duration in a field, or 0 if the field is missing or not a number.
func (line *line) duration(field string) time.Duration {
	nanoseconds, _ := line.fields[field].(float64)
	return time.Duration(nanoseconds)
}

// durationFields are the fields that hold durations, which the daemons log in nanoseconds.
var durationFields = []string{"predicted", "seen", "waited", "queued", "taken", "limit", "age", "cold", "after", "firstevent", "aim", "longestpause", "pause"}

// formatDuration rounds a duration to a few significant digits.
func formatDuration(duration time.Duration) string {
	if duration >= time.Second {
		return duration.Round(10 * time.Millisecond).String()
	}
	return duration.Round(10 * time.Microsecond).String()
}

var errNoLines = errors.New("no line of the files names this request: it reached none of these daemons, or their lines were dropped")

// Run prints the log lines of the request and a description of its outcome.
func Run(_ context.Context, options *Options) error {
	var lines []line
	for _, name := range options.Files {
		found, err := readLines(options, name)
		if err != nil {
			return fmt.Errorf("reading %s: %w", name, err)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return errNoLines
	}
	slices.SortStableFunc(lines, func(a, b line) int {
		return strings.Compare(a.text("@timestamp"), b.text("@timestamp"))
	})
	table := dogwoodcommand.Table{Headings: []string{"TIME", "FILE", "PART", "WHAT", "DETAIL"}}
	for _, each := range lines {
		table.Rows = append(table.Rows, []string{each.text("@timestamp"), each.file, each.text("@module"), each.text("@message"), details(each.fields)})
	}
	streams := options.Factory.Streams
	if err := table.Print(streams.Out, streams.Terminal); err != nil {
		return err
	}
	_, err := fmt.Fprintf(streams.Out, "\n%s\n", describeOutcome(lines))
	return err
}

func readLines(options *Options, name string) ([]line, error) {
	file, err := options.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the file was only read
	var lines []line
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := strings.IndexByte(scanner.Text(), '{')
		if start < 0 || !strings.Contains(scanner.Text(), options.ID) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(scanner.Text()[start:]), &fields) != nil || fields["request"] != options.ID {
			continue
		}
		lines = append(lines, line{file: name, fields: fields})
	}
	return lines, scanner.Err()
}

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

func details(fields map[string]any) string {
	var names []string
	for name := range fields {
		if !strings.HasPrefix(name, "@") && name != "request" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var text strings.Builder
	for _, name := range names {
		value := fields[name]
		if nanoseconds, isNumber := value.(float64); isNumber && slices.Contains(durationFields, name) {
			value = formatDuration(time.Duration(nanoseconds))
		}
		fmt.Fprintf(&text, "%s=%v ", name, value)
	}
	return strings.TrimSpace(text.String())
}
