package dogwoodtrace

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// bytesPerToken is the size of a token that stand-ins and daemons assume.
	bytesPerToken = 4
	// minUniqueTokens is the minimum length of a prompt after its shared prefix, so that its marker
	// fits in.
	minUniqueTokens = 32
	// LoadIDMarker precedes the load ID in a prompt; the engine stand-in repeats the load ID in its
	// answer.
	LoadIDMarker = "load-id="
	// PoisonMarker marks prompts that crash the engine that runs them.
	PoisonMarker = "poison-"
)

const filler = "the engine reads this word and the next one and goes on "

// Prompt returns the text of a prompt, exactly PromptTokens tokens long: the shared prefix, then the
// marker, then filler words.
func (arrival *Arrival) Prompt() string {
	size := arrival.PromptTokens * bytesPerToken
	var text strings.Builder
	text.Grow(size + len(filler))
	if arrival.Prefix > 0 {
		fill(&text, fmt.Sprintf("shared text %d: ", arrival.Prefix), arrival.PrefixTokens*bytesPerToken)
	}
	switch arrival.Poison {
	case "":
		text.WriteString(LoadIDMarker + arrival.LoadID + " ")
	default:
		text.WriteString(PoisonMarker + arrival.Poison + " ")
	}
	fill(&text, "", max(size, text.Len()))
	return text.String()
}

// fill writes start, then filler words until the text has the given size in bytes.
func fill(text *strings.Builder, start string, size int) {
	text.WriteString(start)
	for text.Len()+len(filler) <= size {
		text.WriteString(filler)
	}
	text.WriteString(filler[:size-text.Len()])
}

// Path returns the URL path of the request.
func (arrival *Arrival) Path() string {
	switch arrival.Kind {
	case Lookup:
		return fmt.Sprintf("/services/%s/stock/%s", arrival.Service, arrival.LoadID)
	case Hold:
		return fmt.Sprintf("/services/%s/holds", arrival.Service)
	default:
		return "/v1/chat/completions"
	}
}

// Body returns the request's body. Filler words and markers need no escaping in JSON.
func (arrival *Arrival) Body() string {
	switch arrival.Kind {
	case Lookup:
		return ""
	case Hold:
		return `{"Hold":` + strconv.Quote(arrival.Key) + `,"Car":"` + arrival.Key + `"}`
	default:
		return `{"model":` + strconv.Quote(string(arrival.Model)) +
			`,"stream":` + strconv.FormatBool(arrival.Stream) +
			`,"max_tokens":` + strconv.Itoa(arrival.MaxTokens) +
			`,"messages":[{"role":"user","content":"` + arrival.Prompt() + `"}]}`
	}
}
