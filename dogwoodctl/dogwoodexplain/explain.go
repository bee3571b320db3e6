// Package dogwoodexplain has the verb that tells what became of one request, from the logs
// of all daemons.
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

// Options are what explain works with.
type Options struct {
	Factory *dogwoodfactory.Factory
	ID      string
	Files   []string
	// Open opens a log file; tests give their own.
	Open func(name string) (io.ReadCloser, error)
}

// NewExplain makes the verb. run replaces its work in tests; nil means the work itself.
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
			if len(arguments) < 2 { //nolint:mnd // an id and a file
				return dogwoodsubcommand.NewUsageError("give a request's ID and at least one log file")
			}
			options.ID, options.Files = arguments[0], arguments[1:]
			return run(ctx, options)
		},
		Err: factory.Streams.Err,
	})
}

// line is one log line about the request.
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

// duration returns a field in which the daemons log a duration, 0 if it is not there.
func (line *line) duration(field string) time.Duration {
	nanoseconds, _ := line.fields[field].(float64) // another type is no duration
	return time.Duration(nanoseconds)
}

// durations are the fields that hold durations, which the daemons log in nanoseconds.
var durations = []string{"predicted", "seen", "waited", "queued", "taken", "limit", "age", "cold", "after"}

// readable writes a duration to three digits or so.
func readable(duration time.Duration) string {
	if duration >= time.Second {
		return duration.Round(10 * time.Millisecond).String()
	}
	return duration.Round(10 * time.Microsecond).String()
}

var errNoLines = errors.New("no line of the files names this request: it reached none of these daemons, or their lines were dropped")

// Run prints the lines and the sentence.
func Run(_ context.Context, options *Options) error {
	var lines []line
	for _, name := range options.Files {
		found, err := read(options, name)
		if err != nil {
			return fmt.Errorf("reading %s: %w", name, err)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return errNoLines
	}
	slices.SortStableFunc(lines, func(one, other line) int {
		return strings.Compare(one.text("@timestamp"), other.text("@timestamp"))
	})
	table := dogwoodcommand.Table{Headings: []string{"TIME", "FILE", "PART", "WHAT", "DETAIL"}}
	for _, each := range lines {
		table.Rows = append(table.Rows, []string{each.text("@timestamp"), each.file, each.text("@module"), each.text("@message"), details(each.fields)})
	}
	streams := options.Factory.Streams
	if err := table.Print(streams.Out, streams.Terminal); err != nil {
		return err
	}
	_, err := fmt.Fprintf(streams.Out, "\n%s\n", conclusion(lines))
	return err
}

func read(options *Options, name string) ([]line, error) {
	file, err := options.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // it was only read
	var lines []line
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		at := strings.IndexByte(scanner.Text(), '{')
		if at < 0 || !strings.Contains(scanner.Text(), options.ID) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(scanner.Text()[at:]), &fields) != nil || fields["request"] != options.ID {
			continue
		}
		lines = append(lines, line{file: name, fields: fields})
	}
	return lines, scanner.Err()
}

// longestLine bounds a line of a log.
const longestLine = 1 << 20

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
		if nanoseconds, isNumber := value.(float64); isNumber && slices.Contains(durations, name) {
			value = readable(time.Duration(nanoseconds))
		}
		fmt.Fprintf(&text, "%s=%v ", name, value)
	}
	return strings.TrimSpace(text.String())
}
