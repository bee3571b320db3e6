package dogwoodroot

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"dogwoodmux.example/dogwoodlocal/dogwoodsite"
)

// shutdownTimeout bounds how long the program may take to end after its interrupt.
const shutdownTimeout = time.Minute

// scenario is an instance of the program and the last response that a caller got.
type scenario struct {
	group  sync.WaitGroup
	cancel context.CancelFunc
	ended  chan int
	site   *dogwoodsite.Site
	out    bytes.Buffer
	err    bytes.Buffer
	entry  netip.AddrPort

	response *http.Response
	body     string
}

type scenarioKey struct{}

func scenarioOf(script *testscript.TestScript) *scenario {
	return script.Value(scenarioKey{}).(*scenario)
}

// TestScenarios runs the scripts, each against a separate instance of the program in this
// process.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "../testdata/scenarios",
		Setup: func(environment *testscript.Env) error {
			created := &scenario{cancel: func() {}, ended: make(chan int, 1)}
			environment.Values[scenarioKey{}] = created
			environment.Defer(func() {
				created.cancel()
				created.group.Wait()
			})
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"local":     local,
			"banner":    banner,
			"printed":   printed,
			"entry":     entry,
			"curl":      curl,
			"status":    status,
			"body":      body,
			"header":    header,
			"runs":      runs,
			"interrupt": interrupt,
		},
	})
}

// notifyWriter closes written after the first write, which is the banner. It allows only one
// write.
type notifyWriter struct {
	buffer  *bytes.Buffer
	written chan struct{}
}

func (writer *notifyWriter) Write(data []byte) (int, error) {
	defer close(writer.written)
	return writer.buffer.Write(data)
}

// local implements "local ARGUMENTS…", which runs the program until "interrupt".
func local(script *testscript.TestScript, _ bool, arguments []string) {
	running := scenarioOf(script)
	ctx, cancel := context.WithCancel(context.Background())
	running.cancel = cancel
	written := make(chan struct{})
	factory := &Factory{
		Out: &notifyWriter{buffer: &running.out, written: written}, Err: &running.err,
		Start: func(ctx context.Context, options dogwoodsite.Options) (*dogwoodsite.Site, error) {
			site, err := dogwoodsite.Start(ctx, options)
			running.site = site
			return site, err
		},
	}
	running.group.Go(func() { running.ended <- Run(ctx, factory, arguments) })
	select {
	case <-written:
		running.entry = running.site.Daemons()[0].Serve
	case code := <-running.ended:
		script.Fatalf("ended with %d: %s", code, &running.err)
	}
}

// banner implements "banner PATTERN", which matches the banner.
func banner(script *testscript.TestScript, _ bool, arguments []string) {
	match(script, arguments[0], scenarioOf(script).out.String())
}

// printed implements "printed N", which runs the N-th curl line of the banner unchanged.
func printed(script *testscript.TestScript, _ bool, arguments []string) {
	number, err := strconv.Atoi(arguments[0])
	script.Check(err)
	for line := range strings.Lines(scenarioOf(script).out.String()) {
		if !strings.HasPrefix(line, "curl ") {
			continue
		}
		if number--; number == 0 {
			curl(script, false, shellWords(strings.TrimSpace(line))[1:])
			return
		}
	}
	script.Fatalf("the banner has too few curl lines")
}

// shellWords splits a line into words as a shell does. It supports only spaces and single quotes.
func shellWords(line string) []string {
	var words []string
	word, quoted, inWord := "", false, false
	for _, letter := range line {
		switch {
		case letter == '\'':
			quoted, inWord = !quoted, true
		case letter == ' ' && !quoted:
			if inWord {
				words = append(words, word)
			}
			word, inWord = "", false
		default:
			word, inWord = word+string(letter), true
		}
	}
	return append(words, word)
}

// entry implements "entry N": from then on, URLs without an address go to the N-th daemon.
func entry(script *testscript.TestScript, _ bool, arguments []string) {
	number, err := strconv.Atoi(arguments[0])
	script.Check(err)
	running := scenarioOf(script)
	running.entry = running.site.Daemons()[number-1].Serve
}

// curl implements "curl [-N] [-H HEADER]… [-d BODY] URL".
func curl(script *testscript.TestScript, _ bool, arguments []string) {
	running := scenarioOf(script)
	method, target, sent := http.MethodGet, "", ""
	headers := http.Header{}
	for i := 0; i < len(arguments); i++ {
		switch arguments[i] {
		case "-N":
		case "-H":
			i++
			name, value, _ := strings.Cut(arguments[i], ": ")
			headers.Add(name, value)
		case "-d":
			i++
			method, sent = http.MethodPost, arguments[i]
			headers.Set("Content-Type", "application/x-www-form-urlencoded")
		default:
			target = arguments[i]
		}
	}
	if strings.HasPrefix(target, "/") {
		target = "http://" + running.entry.String() + target
	}
	request, err := http.NewRequest(method, target, strings.NewReader(sent))
	script.Check(err)
	request.Header = headers
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	script.Check(err)
	read, err := io.ReadAll(response.Body)
	script.Check(err)
	script.Check(response.Body.Close())
	running.response, running.body = response, string(read)
	script.Logf("%d %.400s", response.StatusCode, running.body)
}

// status implements "status CODE", which checks the last response's status.
func status(script *testscript.TestScript, _ bool, arguments []string) {
	if got := strconv.Itoa(scenarioOf(script).response.StatusCode); got != arguments[0] {
		script.Fatalf("got status %s, want %s", got, arguments[0])
	}
}

// body implements "body PATTERN", which matches the last response's body.
func body(script *testscript.TestScript, _ bool, arguments []string) {
	match(script, arguments[0], scenarioOf(script).body)
}

func match(script *testscript.TestScript, pattern, got string) {
	if !regexp.MustCompile(pattern).MatchString(got) {
		script.Fatalf("got %q, want a match of %s", got, pattern)
	}
}

// header implements "header NAME VALUE", which checks a header of the last response.
func header(script *testscript.TestScript, _ bool, arguments []string) {
	if got := scenarioOf(script).response.Header.Get(arguments[0]); got != arguments[1] {
		script.Fatalf("got %s: %s, want %s", arguments[0], got, arguments[1])
	}
}

// runs implements "runs KEY COUNT", which checks how often the servers ran the call with an
// idempotency key.
func runs(script *testscript.TestScript, _ bool, arguments []string) {
	got := 0
	for _, server := range scenarioOf(script).site.Plain {
		got += server.Runs(arguments[0])
	}
	if strconv.Itoa(got) != arguments[1] {
		script.Fatalf("got %d runs, want %s", got, arguments[1])
	}
}

// interrupt ends the program and checks that it returns 0 and prints no error.
func interrupt(script *testscript.TestScript, _ bool, _ []string) {
	running := scenarioOf(script)
	running.cancel()
	select {
	case code := <-running.ended:
		if code != exitOK || running.err.Len() > 0 {
			script.Fatalf("got exit code %d and %q, want none", code, &running.err)
		}
	case <-time.After(shutdownTimeout):
		script.Fatalf("the program did not end in %s", shutdownTimeout)
	}
}
