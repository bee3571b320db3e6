// Package dogwoodsettings parses and checks the daemon's settings and the operators' text.
// Both are JSON with comments; each problem is reported with its line and column.
package dogwoodsettings

import (
	"encoding/json"
	"reflect"
	"time"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("settings")

// Duration is a time.Duration written as "1.5s" in JSON.
type Duration time.Duration

// MarshalText writes the duration as time.Duration prints it.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// UnmarshalText parses the duration with time.ParseDuration.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return Error.New("%q is no duration such as \"1.5s\" or \"2m\"", text)
	}
	*duration = Duration(parsed)
	return nil
}

// ParseText parses and checks the operators' text. The error is a *Problems that lists
// every problem found.
func ParseText(source []byte) (*Text, error) {
	return parse(source, checkText)
}

// ParseDaemon parses and checks a daemon's settings. The error is a *Problems.
func ParseDaemon(source []byte) (*Daemon, error) {
	return parse(source, checkDaemon)
}

func parse[T any](source []byte, check func(value *T, report *report)) (*T, error) {
	tree, err := hujson.Parse(source)
	if err != nil {
		// hujson's message already has the line and column.
		return nil, &Problems{List: []Problem{{Message: err.Error()}}}
	}
	report := newReport(source)
	report.walk(&tree, reflect.TypeFor[T](), "")
	value := new(T)
	if len(report.problems) == 0 {
		report.decode(source, value)
	}
	if len(report.problems) == 0 {
		check(value, report)
	}
	if len(report.problems) > 0 {
		return nil, &Problems{List: report.problems}
	}
	return value, nil
}

// decode fills the value. walk has decoded each literal already, so an error here is rare;
// it is reported without a field.
func (report *report) decode(source []byte, value any) {
	standard, err := hujson.Standardize(append([]byte(nil), source...))
	if err != nil {
		report.problems = append(report.problems, Problem{Message: err.Error()})
		return
	}
	if err := json.Unmarshal(standard, value); err != nil {
		report.add("", "%s", err)
	}
}
