// Package dogwoodtext holds the subcommands for the operators' text: apply, diff and show.
package dogwoodtext

import (
	"bytes"
	"fmt"
	"strconv"
)

// marker is the prefix of the marker line, a comment that show writes at the top and apply
// reads. The line holds the version that the text was edited from, so that apply detects a
// conflicting edit without the operator having to remember the version.
const marker = "// BasedOn: "

// withMarker returns the text with a marker line prepended.
func withMarker(version uint64, source []byte) []byte {
	return append(fmt.Appendf(nil, "%s%d\n", marker, version), source...)
}

// splitMarker separates the version in the marker line from the text. found is false if
// there is no valid marker line.
func splitMarker(source []byte) (version uint64, text []byte, found bool) {
	rest, hasPrefix := bytes.CutPrefix(source, []byte(marker))
	if !hasPrefix {
		return 0, source, false
	}
	line, text, _ := bytes.Cut(rest, []byte("\n"))
	version, err := strconv.ParseUint(string(bytes.TrimSpace(line)), 10, 64)
	if err != nil {
		return 0, source, false
	}
	return version, text, true
}
