package dogwoodtransport

import (
	"net/http"
	"strings"
)

// MalformedAnswer reports an answer that HTTP does not allow.
type MalformedAnswer struct {
	// Reason says what is wrong with it.
	Reason string
}

// Error returns the reason.
func (malformed *MalformedAnswer) Error() string { return "malformed answer: " + malformed.Reason }

// reasonName is the reason for an answer whose head or trailer has a line without a proper name.
const reasonName = "a header's name is missing or has an invalid character"

// headPart is the part of a head to which the next byte belongs.
type headPart int

const (
	partVersion headPart = iota
	partStatus
	partReason
	partLineStart
	// partEmptyLine follows a CR at the start of a line.
	partEmptyLine
	partName
	partValue
	partBody
)

// headCheck checks the names in the head of an answer as it arrives, and in those of the informational answers before it. net/http
// accepts blanks in a name, and joins a line that begins with a blank to the one before it, which RFC 9112, section 5.2, allows, but
// would give the caller another value than the sender may have meant.
type headCheck struct {
	part   headPart
	status int
	err    error
}

// add checks a part of an answer. It returns the same error again after the first: net/http may read on after a read that failed.
func (check *headCheck) add(data []byte) error {
	for _, char := range data {
		if check.part == partBody || check.err != nil {
			break
		}
		check.addByte(char)
	}
	return check.err
}

func (check *headCheck) addByte(char byte) {
	switch {
	case check.part == partLineStart && char == '\r':
		check.part = partEmptyLine
	case (check.part == partLineStart || check.part == partEmptyLine) && char == '\n':
		check.endHead()
	case check.part >= partLineStart && check.part <= partName:
		check.addToName(char)
	case char == '\n': // of the status line or a field
		check.part = partLineStart
	case check.part != partValue:
		check.addToStatusLine(char)
	}
}

func (check *headCheck) addToStatusLine(char byte) {
	switch {
	case check.part == partVersion && char == ' ':
		check.part = partStatus
	case check.part == partStatus && char >= '0' && char <= '9':
		check.status = min(check.status*10+int(char-'0'), maxStatus)
	case check.part == partStatus && (char != ' ' || check.status > 0):
		check.part = partReason
	}
}

// maxStatus bounds a status, which has three digits.
const maxStatus = 999

func (check *headCheck) addToName(char byte) {
	switch {
	case check.part == partName && char == ':':
		check.part = partValue
	case check.part != partEmptyLine && isNameByte(char):
		check.part = partName
	default:
		check.err = Error.Wrap(&MalformedAnswer{Reason: reasonName})
	}
}

// isNameByte reports whether a character may stand in a name (RFC 9110, section 5.6.2).
func isNameByte(char byte) bool {
	return char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", char) >= 0
}

// endHead continues with the head of the next answer if this one was informational.
func (check *headCheck) endHead() {
	isInformational := check.status >= http.StatusContinue && check.status < http.StatusOK && check.status != http.StatusSwitchingProtocols
	*check = headCheck{}
	if !isInformational {
		check.part = partBody
	}
}
