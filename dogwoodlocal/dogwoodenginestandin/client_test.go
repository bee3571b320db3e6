package dogwoodenginestandin_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/edge/dogwoodengine"
	"dogwoodmux.example/dogwoodlocal/dogwoodenginestandin"
	"dogwoodmux.example/dogwoodlocal/dogwoodnetwork"
)

// bench holds engines and a client on an in-memory network.
type bench struct {
	t       *testing.T
	network *dogwoodnetwork.Memory
	client  *dogwoodengine.Client
	engines []*dogwoodenginestandin.Engine
}

// inBubble runs a test in a synctest bubble with a number of engines, and waits until the
// engines have ended.
func inBubble(t *testing.T, engines int, options dogwoodenginestandin.Options, test func(t *testing.T, bench *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := dogwoodnetwork.NewMemory()
		bench := &bench{
			t:       t,
			network: network,
			client:  dogwoodengine.New(dogwoodengine.Options{Dial: network.Dial}),
		}
		for index := range engines {
			options.ID = dogwoodfleet.EndpointID(fmt.Sprintf("engine-%d", index))
			options.Dial = network.Dial
			listener, err := network.Listen(netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+index)))
			if err != nil {
				t.Fatal(err)
			}
			options.Listener = listener
			engine, err := dogwoodenginestandin.Start(ctx, options)
			if err != nil {
				t.Fatal(err)
			}
			bench.engines = append(bench.engines, engine)
		}
		defer func() {
			bench.client.Close(t.Context())
			cancel()
			for _, engine := range bench.engines {
				engine.Wait()
			}
		}()
		test(t, bench)
	})
}

func (bench *bench) endpoint(index int) dogwoodfleet.Endpoint {
	engine := bench.engines[index]
	return dogwoodfleet.Endpoint{ID: engine.ID(), Address: engine.Address(), Instance: engine.Instance()}
}

func (bench *bench) endpoints() []dogwoodfleet.Endpoint {
	var all []dogwoodfleet.Endpoint
	for index := range bench.engines {
		all = append(all, bench.endpoint(index))
	}
	return all
}

// newRun returns a request with a prompt and an answer of the given numbers of tokens.
func newRun(id dogwoodfleet.RequestID, prompt, answer int) dogwoodengine.Run {
	text := "load-id=" + string(id) + " "
	text += strings.Repeat("x", max(4*prompt-len(text), 0))
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d}`, text, answer)
	return dogwoodengine.Run{
		ID:           id,
		Path:         dogwoodengine.PathChat,
		Body:         []byte(body),
		Budget:       time.Minute,
		PromptTokens: prompt,
		MaxTokens:    answer,
	}
}

// drain reads a stream until it ends.
func (bench *bench) drain(stream *dogwoodengine.Stream) ([]dogwoodengine.Event, error) {
	var events []dogwoodengine.Event
	for {
		event, err := stream.Next(bench.t.Context())
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

// checkWhole fails the test unless the events make up the complete answer.
func (bench *bench) checkWhole(events []dogwoodengine.Event, id dogwoodfleet.RequestID, tokens int) {
	bench.t.Helper()
	whole, err := dogwoodengine.Assemble(dogwoodengine.PathChat, events)
	if err != nil {
		bench.t.Fatal(err)
	}
	var answer struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if err := json.Unmarshal(whole, &answer); err != nil {
		bench.t.Fatal(err)
	}
	if err := dogwoodenginestandin.CheckAnswer(answer.Choices[0].Message.Content, string(id), tokens); err != nil {
		bench.t.Error(err)
	}
}

// A client must get each token of an answer exactly once, and the engine must release the
// memory at the end.
func TestWholeAnswer(t *testing.T) {
	inBubble(t, 1, dogwoodenginestandin.Options{}, func(t *testing.T, bench *bench) {
		stream, err := bench.client.Start(t.Context(), bench.endpoint(0), newRun("r1", 1000, 64))
		if err != nil {
			t.Fatal(err)
		}
		defer stream.Close()
		events, err := bench.drain(stream)
		if err != nil {
			t.Fatal(err)
		}
		bench.checkWhole(events, "r1", 64)
		if got := bench.engines[0].HeldTokens(); got != 0 {
			t.Errorf("got %d tokens held after the end, want 0", got)
		}
	})
}

// A device on the network path loses the state of a connection: the connection stays open and
// silent, and the engine keeps running the request. The client must detect this while the
// request prefills, while it decodes and after its last token, and resume the stream on a new
// connection.
func TestSilentConnections(t *testing.T) {
	tests := []struct {
		name    string
		prompt  int
		silence time.Duration // after the start
	}{
		{name: "while it decodes", prompt: 1000, silence: 500 * time.Millisecond},
		{name: "while it prefills", prompt: 300_000, silence: 200 * time.Millisecond},
		{name: "after its last token", prompt: 1000, silence: 1010 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, 1, dogwoodenginestandin.Options{ColdDuration: time.Nanosecond, PrefillTokensPerSecond: 50_000}, func(t *testing.T, bench *bench) {
				stream, err := bench.client.Start(t.Context(), bench.endpoint(0), newRun("r1", test.prompt, 200))
				if err != nil {
					t.Fatal(err)
				}
				defer stream.Close()
				time.AfterFunc(test.silence, func() { bench.engines[0].Silence(true) })
				events, err := bench.drain(stream)
				if err != nil {
					t.Fatal(err)
				}
				bench.checkWhole(events, "r1", 200)
				if got := bench.engines[0].Runs("r1"); got != 1 {
					t.Errorf("got %d runs, want 1", got)
				}
			})
		})
	}
}

// A prompt of 300,000 tokens prefills for half a minute. If the client mistook that for a silent
// engine, it would abandon the request, and no such prompt would ever be answered.
func TestLongPrefillIsNotSilence(t *testing.T) {
	inBubble(t, 1, dogwoodenginestandin.Options{ColdDuration: time.Nanosecond, PrefillTokensPerSecond: 10_000}, func(t *testing.T, bench *bench) {
		stream, err := bench.client.Start(t.Context(), bench.endpoint(0), newRun("r1", 300_000, 10))
		if err != nil {
			t.Fatal(err)
		}
		defer stream.Close()
		events, err := bench.drain(stream)
		if err != nil {
			t.Fatal(err)
		}
		bench.checkWhole(events, "r1", 10)
	})
}

// A request to a dead engine must be reported as not started, so that it can run elsewhere. If
// the engine dies later, the stream must be reported as broken, also if the engine is up again.
func TestDeadEngine(t *testing.T) {
	t.Run("before the start", func(t *testing.T) {
		inBubble(t, 1, dogwoodenginestandin.Options{}, func(t *testing.T, bench *bench) {
			bench.engines[0].Die()
			_, err := bench.client.Start(t.Context(), bench.endpoint(0), newRun("r1", 100, 10))
			var notStarted *dogwoodengine.NotStarted
			if !errors.As(err, &notStarted) {
				t.Errorf("got %v, want NotStarted", err)
			}
		})
	})
	for _, revived := range []bool{false, true} {
		t.Run(fmt.Sprintf("while it runs, revived %v", revived), func(t *testing.T) {
			inBubble(t, 1, dogwoodenginestandin.Options{}, func(t *testing.T, bench *bench) {
				stream, err := bench.client.Start(t.Context(), bench.endpoint(0), newRun("r1", 100, 1000))
				if err != nil {
					t.Fatal(err)
				}
				defer stream.Close()
				time.AfterFunc(time.Second, func() {
					bench.engines[0].Die()
					if revived {
						if err := bench.engines[0].Revive(t.Context()); err != nil {
							t.Error(err)
						}
					}
				})
				_, err = bench.drain(stream)
				var broken *dogwoodengine.Broken
				if !errors.As(err, &broken) {
					t.Errorf("got %v, want Broken", err)
				}
			})
		})
	}
}

// A caller disconnects in the middle of its answer, and the connection that carries the cancel
// can break too. Unless the client retries the cancel, the engine keeps holding the memory.
func TestCancelReleasesMemory(t *testing.T) {
	inBubble(t, 1, dogwoodenginestandin.Options{}, func(t *testing.T, bench *bench) {
		stream, err := bench.client.Start(t.Context(), bench.endpoint(0), newRun("r1", 10_000, 100_000))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Next(t.Context()); err != nil {
			t.Fatal(err)
		}
		stream.Close()
		bench.client.Close(t.Context())
		if got := bench.engines[0].HeldTokens(); got != 0 {
			t.Errorf("got %d tokens held after the cancel, want 0", got)
		}
	})
}

// A request that exceeds its budget must end with the engine's error and release its memory, or
// the memory stays held for a caller that no longer waits.
func TestBudgetEndsTheRequest(t *testing.T) {
	inBubble(t, 1, dogwoodenginestandin.Options{}, func(t *testing.T, bench *bench) {
		late := newRun("r1", 1000, 100_000)
		late.Budget = 3 * time.Second
		stream, err := bench.client.Start(t.Context(), bench.endpoint(0), late)
		if err != nil {
			t.Fatal(err)
		}
		defer stream.Close()
		_, err = bench.drain(stream)
		var answered *dogwoodengine.Answered
		if !errors.As(err, &answered) {
			t.Errorf("got %v, want the engine's error", err)
		}
		if got := bench.engines[0].HeldTokens(); got != 0 {
			t.Errorf("got %d tokens held after the budget, want 0", got)
		}
	})
}

// Two prompts of a million tokens, each more than twice one engine's memory, arrive at the same
// time and need the same four engines. Unless each reserves either all of its engines or none,
// each can hold two and wait for the other's: a deadlock.
func TestTwoGangsOnTheSameEngines(t *testing.T) {
	inBubble(t, 4, dogwoodenginestandin.Options{ColdDuration: time.Nanosecond}, func(t *testing.T, bench *bench) {
		results := make(chan error, 2)
		var callers sync.WaitGroup
		for index := range 2 {
			id := dogwoodfleet.RequestID(fmt.Sprintf("gang-%d", index))
			run := newRun(id, 1_000_000, 20)
			run.Gang = bench.endpoints()
			callers.Go(func() {
				stream, err := bench.client.Start(t.Context(), run.Gang[index], run)
				if err != nil {
					results <- err
					return
				}
				defer stream.Close()
				events, err := bench.drain(stream)
				if err == nil {
					bench.checkWhole(events, id, 20)
				}
				results <- err
			})
		}
		callers.Wait()
		for range 2 {
			if err := <-results; err != nil {
				t.Errorf("got %v, want both answered", err)
			}
		}
		bench.client.Close(t.Context())
		for _, engine := range bench.engines {
			if got := engine.HeldTokens(); got != 0 {
				t.Errorf("%s: got %d tokens held, want 0", engine.ID(), got)
			}
		}
	})
}

// One engine of a gang dies while the request runs. The caller must get the error soon, and the
// other engines must release their memory at once, not only when the deadline passes.
func TestGangMemberDies(t *testing.T) {
	inBubble(t, 4, dogwoodenginestandin.Options{ColdDuration: time.Nanosecond}, func(t *testing.T, bench *bench) {
		run := newRun("gang", 1_000_000, 10_000)
		run.Gang = bench.endpoints()
		stream, err := bench.client.Start(t.Context(), run.Gang[0], run)
		if err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(time.Second, bench.engines[2].Die)
		begun := time.Now()
		_, err = bench.drain(stream)
		var broken *dogwoodengine.Broken
		if !errors.As(err, &broken) {
			t.Errorf("got %v, want Broken", err)
		}
		if got := time.Since(begun); got > 10*time.Second {
			t.Errorf("got %v until the loss was reported, want at most 10s", got)
		}
		stream.Close()
		bench.client.Close(t.Context())
		for index, engine := range bench.engines {
			if got := engine.HeldTokens(); got != 0 {
				t.Errorf("engine %d: got %d tokens held, want 0", index, got)
			}
		}
	})
}
