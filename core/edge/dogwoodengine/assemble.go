package dogwoodengine

import (
	"encoding/json"
	"strings"
)

// chunkBody has the fields of a chunk that Assemble reads, under the names of the API.
type chunkBody struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int          `json:"index"`
	Text         string       `json:"text"`
	Delta        chunkMessage `json:"delta"`
	FinishReason *string      `json:"finish_reason"`
}

type chunkMessage struct {
	Content string `json:"content"`
}

type responseBody struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   json.RawMessage  `json:"usage,omitempty"`
}

type responseChoice struct {
	Index        int              `json:"index"`
	Message      *responseMessage `json:"message,omitempty"`
	Text         *string          `json:"text,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type responseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Assemble builds the response body for a caller that did not request a stream, from all
// events of the engine's stream.
func Assemble(path string, events []Event) ([]byte, error) {
	var response responseBody
	texts := map[int]*strings.Builder{}
	finishReasons := map[int]*string{}
	for _, event := range events {
		var chunk chunkBody
		if err := json.Unmarshal(event.Data, &chunk); err != nil {
			return nil, Error.New("event %d: %v", event.Index, err)
		}
		response.ID, response.Model, response.Created = chunk.ID, chunk.Model, chunk.Created
		if len(chunk.Usage) > 0 && string(chunk.Usage) != "null" {
			response.Usage = chunk.Usage
		}
		for _, choice := range chunk.Choices {
			if texts[choice.Index] == nil {
				texts[choice.Index] = &strings.Builder{}
			}
			texts[choice.Index].WriteString(choice.Delta.Content + choice.Text)
			if choice.FinishReason != nil {
				finishReasons[choice.Index] = choice.FinishReason
			}
		}
	}
	response.Object = "text_completion"
	if path == PathChat {
		response.Object = "chat.completion"
	}
	for index := range len(texts) {
		if finishReasons[index] == nil {
			return nil, Error.New("choice %d of the answer is not finished", index)
		}
		choice := responseChoice{Index: index, FinishReason: finishReasons[index]}
		text := texts[index].String()
		if path == PathChat {
			choice.Message = &responseMessage{Role: "assistant", Content: text}
		} else {
			choice.Text = &text
		}
		response.Choices = append(response.Choices, choice)
	}
	body, err := json.Marshal(response)
	return body, Error.Wrap(err)
}
