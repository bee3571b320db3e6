package dogwoodcaller

import (
	"net/http"
	"time"

	"dogwoodmux.example/core/decision/dogwoodprefix"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/duty/dogwooddispatch"
	"dogwoodmux.example/core/edge/dogwoodengine"
)

// maxPrefixBlocks bounds the blocks of a prompt that routing considers: 64 blocks of 1 KiB
// are 16,000 tokens, more than the instructions and examples that prompts have in common.
const maxPrefixBlocks = 64

// servePrompt dispatches a model request and answers with a stream or one JSON object.
func (edge *Edge) servePrompt(exchange *exchange) error {
	body, err := exchange.readBody(maxPromptBytes)
	if err != nil {
		return err
	}
	prompt, err := dogwoodengine.ParsePrompt(body)
	if err != nil {
		return badRequest(err.Error())
	}
	service, err := exchange.enginePool(prompt.Model)
	if err != nil {
		return err
	}
	if failure := checkPromptLength(service, prompt); failure != nil {
		return failure
	}
	call, err := edge.newCall(exchange, service, body)
	if err != nil {
		return err
	}
	call.Target = exchange.request.URL.Path
	call.Request.Model = prompt.Model
	call.Request.PromptTokens = prompt.Tokens()
	call.Request.MaxTokens = prompt.MaxTokens
	call.Request.Repeatable = true // a model request has no side effects
	call.Request.Digest = digest(call.Request.Customer, body, call.Target)
	call.Request.Blocks = dogwoodprefix.Blocks(prompt.Text, maxPrefixBlocks)
	ctx, cancel := exchange.withDeadline(call.Request.Deadline)
	defer cancel()
	if prompt.Stream {
		return edge.serveStream(ctx, exchange, call)
	}
	return edge.serveJSON(ctx, exchange, call)
}

// enginePool returns the engine pool for a prompt: the service that the caller names in a
// header, else the first pool that has the model and that the customer may call.
func (exchange *exchange) enginePool(model dogwoodfleet.Model) (*dogwoodsettings.Service, error) {
	if name := exchange.request.Header.Get(HeaderService); name != "" {
		service, err := exchange.allowedService(dogwoodfleet.Service(name))
		if err == nil && service.Kind != dogwoodfleet.EnginePool {
			return nil, badRequest(name + " is not an engine pool")
		}
		return service, err
	}
	var lastErr error
	for i := range exchange.text.Services {
		service := &exchange.text.Services[i]
		if service.Kind != dogwoodfleet.EnginePool || findModel(service, model) == nil {
			continue
		}
		allowed, err := exchange.allowedService(service.Name)
		if err == nil {
			return allowed, nil
		}
		lastErr = err
	}
	if lastErr != nil {
		return nil, lastErr
	}
	return nil, badRequest("no service holds the model " + string(model))
}

func findModel(service *dogwoodsettings.Service, name dogwoodfleet.Model) *dogwoodsettings.Model {
	for i := range service.Models {
		if service.Models[i].Name == name {
			return &service.Models[i]
		}
	}
	return nil
}

func checkPromptLength(service *dogwoodsettings.Service, prompt *dogwoodengine.Prompt) error {
	model := findModel(service, prompt.Model)
	if model == nil || model.MaxPromptTokens == 0 || prompt.Tokens() <= model.MaxPromptTokens {
		return nil
	}
	return &dogwooddispatch.Failure{Reason: dogwoodfleet.ReasonTooLarge, Run: dogwoodfleet.NotRun, Detail: "the prompt is longer than the model takes"}
}

// streamAnswer sends each event to the caller when it arrives.
type streamAnswer struct {
	exchange *exchange
}

// Event writes one server-sent event.
func (answer *streamAnswer) Event(event dogwooddispatch.Event) error {
	answer.begin()
	return answer.writeEvent("data: ", event.Data)
}

// Begun reports whether the status has been sent.
func (answer *streamAnswer) Begun() bool {
	return answer.exchange.status != 0
}

// Restart does nothing: streamAnswer keeps no events, and a stream that has begun is not
// restarted.
func (answer *streamAnswer) Restart() {}

func (answer *streamAnswer) begin() {
	if answer.Begun() {
		return
	}
	header := answer.exchange.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	answer.exchange.status = http.StatusOK
	answer.exchange.firstToken = time.Since(answer.exchange.arrived)
	answer.exchange.writer.WriteHeader(http.StatusOK)
}

func (answer *streamAnswer) writeEvent(prefix string, data []byte) error {
	exchange := answer.exchange
	exchange.setWriteDeadline()
	line := make([]byte, 0, len(prefix)+len(data)+2)
	line = append(line, prefix...)
	line = append(line, data...)
	line = append(line, '\n', '\n')
	if _, err := exchange.writer.Write(line); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(exchange.controller.Flush())
}
