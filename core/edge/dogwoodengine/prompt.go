package dogwoodengine

import (
	"bytes"
	"encoding/json"

	"dogwoodmux.example/core/dogwoodfleet"
)

// bytesPerToken estimates the length of a prompt before an engine has counted its tokens: a
// token is about four bytes of English text.
const bytesPerToken = 4

// DefaultMaxTokens bounds the answer if the request states no bound.
const DefaultMaxTokens = 64

// Prompt holds what scheduling a model request needs from its body.
type Prompt struct {
	Model dogwoodfleet.Model
	// Text is the prompt without its JSON; the texts of the messages are concatenated.
	Text      []byte
	MaxTokens int
	Stream    bool
	// IncludeUsage is true if the caller wants a last chunk with the token counts.
	IncludeUsage bool
}

// Tokens returns the estimated length of the prompt in tokens.
func (prompt *Prompt) Tokens() int {
	return (len(prompt.Text) + bytesPerToken - 1) / bytesPerToken
}

type promptBody struct {
	Model               string           `json:"model"`
	Prompt              json.RawMessage  `json:"prompt"`
	Messages            []promptMessage  `json:"messages"`
	MaxTokens           int              `json:"max_tokens"`
	MaxCompletionTokens int              `json:"max_completion_tokens"`
	Stream              bool             `json:"stream"`
	StreamOptions       promptStreamWish `json:"stream_options"`
}

type promptMessage struct {
	Content json.RawMessage `json:"content"`
}

type promptStreamWish struct {
	IncludeUsage bool `json:"include_usage"`
}

type promptPart struct {
	Text string `json:"text"`
}

// ParsePrompt parses the body of a chat or text completion request.
func ParsePrompt(body []byte) (*Prompt, error) {
	var parsed promptBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, Error.New("request body: %v", err)
	}
	var text bytes.Buffer
	if err := writeContent(&text, parsed.Prompt); err != nil {
		return nil, err
	}
	for _, message := range parsed.Messages {
		if err := writeContent(&text, message.Content); err != nil {
			return nil, err
		}
	}
	maxTokens := max(parsed.MaxTokens, parsed.MaxCompletionTokens)
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	return &Prompt{
		Model:        dogwoodfleet.Model(parsed.Model),
		Text:         text.Bytes(),
		MaxTokens:    maxTokens,
		Stream:       parsed.Stream,
		IncludeUsage: parsed.StreamOptions.IncludeUsage,
	}, nil
}

// writeContent appends to text a string, a list of strings or a list of text parts.
func writeContent(text *bytes.Buffer, raw json.RawMessage) error {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return nil
	}
	if raw[0] == '"' {
		var plain string
		if err := json.Unmarshal(raw, &plain); err != nil {
			return Error.New("prompt text: %v", err)
		}
		text.WriteString(plain)
		return nil
	}
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		return Error.New("prompt: want a string or a list: %v", err)
	}
	for _, item := range items {
		if len(item) > 0 && item[0] == '{' {
			var part promptPart
			if err := json.Unmarshal(item, &part); err != nil {
				return Error.New("prompt part: %v", err)
			}
			text.WriteString(part.Text)
			continue
		}
		if err := writeContent(text, item); err != nil {
			return err
		}
	}
	return nil
}
