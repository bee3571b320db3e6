package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodmux.example/platform/dogwoodstandin"
	"dogwoodmux.example/platform/dogwoodwire"
)

// Figures of the case.
const (
	paragraphs     = 10
	paragraphTime  = 20 * time.Millisecond
	breakAfter     = 4  // paragraphs
	breakOneIn     = 50 // answers of a server that breaks some off
	breakingShare  = 2  // one in so many servers breaks some off
	joinedRequests = 2400
	joinedCallers  = 48
)

// paragraph returns a part of the answer to a request, which all servers give alike.
func paragraph(id string, number int) string {
	return fmt.Sprintf("Paragraph %d of the draft for request %s.\n\n", number, id)
}

// draft returns the whole answer to a request.
func draft(id string) string {
	var answer strings.Builder
	for number := range paragraphs {
		answer.WriteString(paragraph(id, number+1))
	}
	return answer.String()
}

// drafter is a model server that answers with text, not with events. It breaks some answers off if it is told to.
type drafter struct {
	record  *record
	breaks  bool
	answers atomic.Int64
	ran     func(id, server string)
}

func (drafter *drafter) wrap(server string, handler http.Handler) http.Handler {
	number := int(server[len(server)-1] - '0')
	return http.HandlerFunc(func(writer http.ResponseWriter, received *http.Request) {
		id := received.Header.Get(dogwoodwire.RequestID)
		if id == "" || received.URL.Path == dogwoodwire.ReportPath {
			handler.ServeHTTP(writer, received)
			return
		}
		drafter.ran(id, server)
		breaksOff := drafter.breaks && number%breakingShare == 0 && drafter.answers.Add(1)%breakOneIn == 0
		writer.Header().Set(dogwoodwire.RequestID, id)
		writer.Header().Set(dogwoodwire.Seal, "3e1b.07.5a2."+server)
		writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
		for part := range paragraphs {
			if breaksOff && part == breakAfter {
				drafter.record.log("server %s: breaks off its answer to %s after %d of %d paragraphs", server, id, part, paragraphs)
				panic(http.ErrAbortHandler)
			}
			if _, err := writer.Write([]byte(paragraph(id, part+1))); err != nil {
				return
			}
			_ = http.NewResponseController(writer).Flush() // a write fails then
			time.Sleep(paragraphTime)
		}
	})
}

// joined breaks off some answers to requests that may be repeated.
func joined(record *record, program string, trouble bool) (bool, error) {
	const machines, servers = 3, 6
	var mutex sync.Mutex
	runs := map[string][]string{}
	drafter := &drafter{record: record, breaks: trouble, ran: func(id, server string) {
		mutex.Lock()
		defer mutex.Unlock()
		runs[id] = append(runs[id], server)
	}}
	text := manifest(1, true)
	text.Routes[0].Repeat, text.Routes[0].Resumable = dogwoodstandin.Idempotent, false
	deployment, err := start(record, program, options{
		machines: machines, ratio: 0.2, slack: 104,
		services: []service{{name: "model-pool", servers: servers, wrap: drafter.wrap, options: dogwoodstandin.EndpointOptions{Slots: 16}}},
	}, text)
	if deployment != nil {
		defer deployment.stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	var next, whole, wrong, failed atomic.Int64
	for range joinedCallers {
		group.Go(func() {
			for number := next.Add(1); number <= joinedRequests; number = next.Add(1) {
				request := &plainRequest{
					id: fmt.Sprintf("draft-%d", number), method: http.MethodPost, target: "/lohu930/2f", body: "vehicle sheet", tokens: 5000,
					address: netip.AddrPortFrom(deployment.machines[int(number)%machines].ip, frontPort), wait: timeLimit,
				}
				answer := request.send()
				mutex.Lock()
				servers := slices.Clone(runs[request.id])
				mutex.Unlock()
				switch {
				case answer.err != nil || answer.status != http.StatusOK:
					failed.Add(1)
					record.log("requester: %s was answered %d (%v), ran at %v", request.id, answer.status, answer.err, servers)
				case answer.body == draft(request.id):
					whole.Add(1)
					record.log("requester: %s was answered 200 with the server's whole body, ran at %v", request.id, servers)
				default:
					wrong.Add(1)
					record.log("requester: %s was answered 200 with the seal %s and a complete body of %d bytes, the server's whole body has %d; it ran at %v; the body has paragraph 1 %d times",
						request.id, answer.header.Get(dogwoodwire.Seal), len(answer.body), len(draft(request.id)), servers, strings.Count(answer.body, paragraph(request.id, 1)))
				}
			}
		})
	}
	group.Wait()
	record.log("check: %d requests got the server's whole body, %d another one, %d no success", whole.Load(), wrong.Load(), failed.Load())
	if whole.Load() == 0 {
		return false, fmt.Errorf("%w: nothing was served", errCannotRun)
	}
	return wrong.Load() == 0, nil
}
