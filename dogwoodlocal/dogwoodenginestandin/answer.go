package dogwoodenginestandin

import (
	"bytes"
	"strconv"
	"strings"
)

// tagMarker precedes the tag in a prompt. An answer consists of the tokens "TAG:0 TAG:1 TAG:2 "
// and so on, so that a gap, a repetition or another request's text can be detected. The tag is
// the request's X-Load-Id header, else the text between "load-id=" and the next space in its
// prompt, else the engine's request ID.
const tagMarker = "load-id="

func answerToken(tag string, index int) string {
	return tag + ":" + strconv.Itoa(index) + " "
}

// tagOf returns the tag in the prompt, or "" if there is none.
func tagOf(prompt []byte) string {
	_, after, found := bytes.Cut(prompt, []byte(tagMarker))
	if !found {
		return ""
	}
	end := bytes.IndexAny(after, " \n\t\"")
	if end < 0 {
		end = len(after)
	}
	return string(after[:end])
}

// CheckAnswer returns an error unless the content is the complete answer, of the given number
// of tokens, to the request with the given tag.
func CheckAnswer(content, tag string, tokens int) error {
	rest := content
	for index := range tokens {
		token := answerToken(tag, index)
		if !strings.HasPrefix(rest, token) {
			return Error.New("token %d of the answer to %s: got %.60q, want %q", index, tag, rest, token)
		}
		rest = rest[len(token):]
	}
	if rest != "" {
		return Error.New("after the %d tokens of the answer to %s: got %.60q, want nothing", tokens, tag, rest)
	}
	return nil
}
