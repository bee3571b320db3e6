package dogwoodenginestandin

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/edge/dogwoodengine"
)

// sequence is a request in the engine, from its arrival until its stream can no longer be
// resumed.
type sequence struct {
	id            dogwoodfleet.RequestID
	tag           string
	chat          bool
	model         dogwoodfleet.Model
	priority      int
	arrived       time.Time
	deadline      time.Time // when the budget is used up; zero without a budget
	endedAt       time.Time
	promptTokens  int
	maxTokens     int
	blocks        []uint64
	crashesEngine bool
	// helpers are the gang's engines other than this one. Each member holds tokensPerMember.
	helpers          []netip.AddrPort
	tokensPerMember  int
	exportedHelpers  int
	helpersCheckedAt time.Time

	phase      dogwoodengine.RunPhase
	heldTokens int
	prefilled  float64
	produced   float64
	// chunks are the events so far; the last one of a complete answer is "[DONE]".
	chunks  []string
	written int
	failure string
	// changed is closed and replaced whenever the sequence changes.
	changed chan struct{}
}

func (sequence *sequence) notifyReaders() {
	close(sequence.changed)
	sequence.changed = make(chan struct{})
}

func (sequence *sequence) ended() bool {
	return sequence.phase == dogwoodengine.PhaseDone || sequence.phase == dogwoodengine.PhaseFailed
}

func (sequence *sequence) computing() bool {
	return sequence.phase == dogwoodengine.PhasePrefill || sequence.phase == dogwoodengine.PhaseDecode
}

// end releases the memory and notifies the readers.
func (sequence *sequence) end(phase dogwoodengine.RunPhase, failure string, now time.Time) {
	sequence.phase = phase
	sequence.failure = failure
	sequence.heldTokens = 0
	sequence.endedAt = now
	sequence.notifyReaders()
}

// writeChunk adds a chunk with the tokens produced since the last one.
func (sequence *sequence) writeChunk() {
	upTo := min(int(sequence.produced), sequence.maxTokens)
	if upTo <= sequence.written {
		return
	}
	var text strings.Builder
	for index := sequence.written; index < upTo; index++ {
		text.WriteString(answerToken(sequence.tag, index))
	}
	sequence.written = upTo
	sequence.chunks = append(sequence.chunks, sequence.chunk(text.String(), ""))
	sequence.notifyReaders()
}

// finish adds the chunks that end a complete answer.
func (sequence *sequence) finish() {
	usage := fmt.Sprintf(`{"id":%q,"object":%q,"created":0,"model":%q,"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
		sequence.id, sequence.object(), sequence.model, sequence.promptTokens, sequence.written, sequence.promptTokens+sequence.written)
	sequence.chunks = append(sequence.chunks, sequence.chunk("", "stop"), usage, "[DONE]")
}

func (sequence *sequence) object() string {
	if sequence.chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

// chunk formats one chunk. It doesn't use encoding/json because it is called for every token.
func (sequence *sequence) chunk(text, finish string) string {
	reason := "null"
	if finish != "" {
		reason = `"` + finish + `"`
	}
	content := fmt.Sprintf(`"text":%q`, text)
	if sequence.chat {
		content = fmt.Sprintf(`"delta":{"role":"assistant","content":%q}`, text)
	}
	return fmt.Sprintf(`{"id":%q,"object":%q,"created":0,"model":%q,"choices":[{"index":0,%s,"finish_reason":%s}]}`,
		sequence.id, sequence.object(), sequence.model, content, reason)
}
