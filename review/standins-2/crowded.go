package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dogwoodmux.example/platform/dogwoodstandin"
	"dogwoodmux.example/platform/dogwoodwire"
)

const (
	// requesters is the number of requesters, each of which has one stream at a time, on a channel that it keeps.
	requesters = 640
	// streamEvents is the number of events of a stream, one each eventInterval.
	streamEvents  = 19
	eventInterval = 200 * time.Millisecond
	engines       = 60
	engineSlots   = 16
	// quiet is the time before a machine is stopped, watched that in which streams are watched after it.
	quiet, watched = 15 * time.Second, 15 * time.Second
	// untilReload is the time from the stop of one machine to the SIGHUP of the other one.
	untilReload = 4 * time.Second
	// retries is how often a requester tries a request again, and pauseAfterFailure its pause before the next request if that failed too.
	retries           = 1
	pauseAfterFailure = time.Second
	// allowedLost is how many such requests the rule allows.
	allowedLost = 3
	// streamLimit is the time limit of a stream.
	streamLimit = 10 * time.Second
	smallMemory = 136
	smallFiles  = 2870
)

// stream is one request of a requester for a stream.
type stream struct {
	id     string
	daemon *daemon
	// kept is true if its channel has carried a request before.
	kept bool
	// after is the event after which the stream is resumed, 0 for a new one.
	after  int
	sent   time.Duration
	ended  time.Duration
	status int
	events int
	// maxPause is the longest time from one event to the next.
	maxPause time.Duration
	err      error
}

func (stream *stream) isWhole() bool {
	return stream.err == nil && stream.after+stream.events == streamEvents
}

// crowded shows what becomes of streams at a machine that gets the requesters of another one, which is stopped and started again.
func crowded(site *site) (bool, error) {
	site.memory, site.files = smallMemory, smallFiles
	for i := range engines {
		if err := site.addEngine(fmt.Sprintf("e-%d", i), "pool", dataCentres[i%len(dataCentres)]); err != nil {
			return false, err
		}
	}
	if err := site.publish("manifest.json"); err != nil {
		return false, err
	}
	for number := range 2 {
		if err := site.addDaemon(number); err != nil {
			return false, err
		}
	}
	if err := site.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mutex sync.Mutex
	var all []*stream
	var group sync.WaitGroup
	began := time.Now()
	for i := range requesters {
		group.Go(func() {
			// They come one after the other, so that their streams are spread over time.
			time.Sleep(time.Duration(i) * 4 * time.Second / requesters)
			requester := &requester{site: site, daemon: site.daemons[i%2], began: began}
			for ctx.Err() == nil {
				for range 1 + retries {
					stream := requester.next()
					mutex.Lock()
					all = append(all, stream)
					mutex.Unlock()
					if stream.isWhole() || ctx.Err() != nil {
						break
					}
				}
				if requester.client == nil { // the last try failed
					time.Sleep(pauseAfterFailure)
				}
			}
		})
	}
	time.Sleep(quiet)
	stoppedAt := time.Since(began)
	stopped := site.daemons[1]
	if site.trouble {
		site.note("%s gets SIGTERM", stopped.name())
		if err := stopped.process.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		group.Go(func() {
			<-stopped.exited
			site.note("%s has ended and is started again", stopped.name())
			stopped.settings.FirstStart = false
			if err := site.start(stopped); err != nil {
				site.note("it can't be started: %v", err)
			}
		})
	}
	time.Sleep(untilReload)
	reloadedAt := time.Since(began)
	if site.trouble {
		if err := site.reload(site.daemons[0]); err != nil {
			return false, err
		}
	}
	time.Sleep(watched - untilReload)
	cancel()
	group.Wait()
	stayed := site.daemons[0]
	count, cut, refused, whole, sentAfter, wholeAfter, aroundReload := 0, 0, 0, 0, 0, 0, 0
	for _, stream := range all {
		site.note("stream %s at %s, kept channel %t, sent %.3f, ended %.3f: status %d, %d events, longest pause %d ms, error %v",
			stream.id, stream.daemon.name(), stream.kept, stream.sent.Seconds(), stream.ended.Seconds(), stream.status, stream.events, stream.maxPause.Milliseconds(), stream.err)
		if stream.daemon == stayed && stream.sent > stoppedAt {
			sentAfter++
			if stream.isWhole() {
				wholeAfter++
			}
		}
		switch {
		case stream.daemon != stayed:
		case stream.isWhole():
			whole++
		case stream.status == http.StatusServiceUnavailable:
			refused++
		case stream.status == http.StatusOK:
			cut++
			if stream.kept {
				count++
			}
			if stream.sent <= reloadedAt+changeWithin && stream.ended > reloadedAt && stream.ended-stream.sent < streamLimit {
				aroundReload++
			}
		}
	}
	site.say("at %s, which was not stopped: %d whole streams, %d refused requests, %d streams cut midway, %d of them on kept channels and %d around its SIGHUP; after the stop %d of %d streams that were sent there were whole",
		stayed.name(), whole, refused, cut, count, aroundReload, wholeAfter, sentAfter)
	return count <= allowedLost && aroundReload == 0, nil
}

// requester sends one stream after another over a channel that it keeps.
type requester struct {
	site   *site
	daemon *daemon
	began  time.Time
	client *http.Client
	// after is the ID of the last event of a stream that was cut, after which the next request resumes it.
	after int
}

// next sends a request and reads its answer as it arrives. After a failure, the next one is sent over a new channel, to the other machine.
func (requester *requester) next() *stream {
	if requester.client == nil {
		requester.client = &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
	}
	stream := &stream{id: newID(), daemon: requester.daemon, sent: time.Since(requester.began), after: requester.after}
	requester.after = 0
	defer func() { stream.ended = time.Since(requester.began) }()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { stream.kept = info.Reused }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace), http.MethodPost,
		"http://"+requester.daemon.settings.CallersAddress().String()+"/draft/sheet", strings.NewReader("a vehicle sheet"))
	if err != nil {
		stream.err = err
		return stream
	}
	request.Host = host
	request.Header.Set(dogwoodwire.RequestID, stream.id)
	request.Header.Set(dogwoodwire.Deadline, strconv.FormatInt(streamLimit.Milliseconds(), 10))
	request.Header.Set(dogwoodwire.TokenCounts, "1000,646")
	request.Header.Set(dogwoodwire.Model, "m")
	request.Header.Set(dogwoodwire.Authorization, "Token key-a")
	if stream.after > 0 {
		request.Header.Set(dogwoodwire.LastEventID, strconv.Itoa(stream.after))
	}
	response, err := requester.client.Do(request)
	if err != nil {
		stream.err = err
		requester.leave(true)
		return stream
	}
	defer func() { _ = response.Body.Close() }()
	stream.status = response.StatusCode
	stream.err = stream.read(response.Body)
	if stream.status != http.StatusOK || stream.err != nil {
		wait, _ := strconv.ParseFloat(response.Header.Get(dogwoodwire.RetryAfter), 64)
		requester.after = (stream.after + stream.events) % streamEvents
		requester.leave(false)
		time.Sleep(time.Duration(wait * float64(time.Second)))
	}
	return stream
}

// leave drops the channel. The next request is sent to the other machine, as requesters leave out the one that failed them.
func (requester *requester) leave(gone bool) {
	requester.client.CloseIdleConnections()
	requester.client = nil
	if gone {
		time.Sleep(50 * time.Millisecond)
	}
	for _, daemon := range requester.site.daemons {
		if daemon != requester.daemon {
			requester.daemon = daemon
			return
		}
	}
}

// read counts the events of a stream as they arrive.
func (stream *stream) read(body io.Reader) error {
	reader := bufio.NewReader(body)
	last := time.Now()
	for {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			stream.events++
			stream.maxPause = max(stream.maxPause, time.Since(last))
			last = time.Now()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// addEngine starts a model server.
func (site *site) addEngine(id, service, zone string) error {
	return site.addServerWith(dogwoodstandin.EndpointOptions{
		ID: id, Service: service, DataCentre: zone, Slots: engineSlots, Events: streamEvents, EventInterval: eventInterval,
		MemoryTokens: dogwoodstandin.EngineMemoryTokens, Record: func(dogwoodstandin.Arrival) {},
	})
}
