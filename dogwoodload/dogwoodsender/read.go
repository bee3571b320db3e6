package dogwoodsender

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"dogwoodmux.example/core/dogwoodproblem"
	"dogwoodmux.example/dogwoodload/dogwoodtrace"
)

const (
	// maxLine bounds one line of a stream.
	maxLine = 1 << 20
	// maxAnswer bounds a whole answer.
	maxAnswer = 16 << 20
)

// read reads the whole answer into the sample. It returns an error if the answer is incomplete or
// malformed.
func (sender *Sender) read(sample *Sample, response *http.Response) error {
	sample.Status = response.StatusCode
	sample.RequestID = response.Header.Get(headerRequestID)
	if pause := time.Duration(sample.Arrival.ReadPause); pause > 0 && response.StatusCode < http.StatusMultipleChoices {
		time.Sleep(pause)
	}
	contentType := response.Header.Get("Content-Type")
	switch {
	case strings.HasPrefix(contentType, dogwoodproblem.ContentType):
		return sample.readProblem(response.Body)
	case strings.HasPrefix(contentType, "text/event-stream"):
		return sender.readStream(sample, response.Body)
	default:
		return sender.readWhole(sample, response.Body)
	}
}

func (sample *Sample) readProblem(body io.Reader) error {
	var problem dogwoodproblem.Problem
	if err := json.NewDecoder(io.LimitReader(body, maxAnswer)).Decode(&problem); err != nil {
		return Error.Wrap(err)
	}
	sample.Problem = &problem
	return nil
}

// errTruncatedStream reports a stream that ended without [DONE] or an error event.
var errTruncatedStream = errors.New("the stream ended without [DONE] or an error event")

func (sender *Sender) readStream(sample *Sample, body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxLine)
	var content strings.Builder
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, named := strings.CutPrefix(line, "event: "); named {
			event = name
			continue
		}
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case !isData:
			continue
		case event == "error":
			return sample.readProblem(strings.NewReader(data))
		case data == "[DONE]":
			sender.finish(sample, content.String())
			return nil
		}
		sample.addDelta(&content, data)
		event = ""
	}
	if err := scanner.Err(); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(errTruncatedStream)
}

// chunk is an event of a streamed answer, or a whole answer, in the format of the OpenAI API.
type chunk struct {
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
		Text    string
	}
}

func (sample *Sample) addDelta(content *strings.Builder, data string) {
	var event chunk
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		content.WriteString("(no JSON)")
		return
	}
	for _, choice := range event.Choices {
		text := choice.Delta.Content + choice.Text
		if text != "" && sample.FirstToken == 0 {
			sample.FirstToken = time.Since(sample.Sent)
		}
		content.WriteString(text)
	}
}

func (sender *Sender) readWhole(sample *Sample, body io.Reader) error {
	answer, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	if err != nil {
		return Error.Wrap(err)
	}
	if sample.Arrival.Kind != dogwoodtrace.Chat || sample.Status >= http.StatusMultipleChoices {
		sender.finish(sample, string(answer))
		return nil
	}
	var whole chunk
	if err := json.Unmarshal(answer, &whole); err != nil || len(whole.Choices) == 0 {
		return Error.New("the answer is not a completion: %.80q", answer)
	}
	sender.finish(sample, whole.Choices[0].Message.Content)
	return nil
}

func (sender *Sender) finish(sample *Sample, content string) {
	sample.Whole = true
	if sample.Status < http.StatusMultipleChoices {
		sample.Wrong = sender.options.Check(sample.Arrival, content)
	}
}
