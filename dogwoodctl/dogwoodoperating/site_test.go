package dogwoodoperating

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/rogpeppe/go-internal/testscript"

	"dogwoodmux.example/dogwoodctl/dogwoodfactory"
	"dogwoodmux.example/dogwoodctl/dogwoodroot"
	"dogwoodmux.example/dogwoodlocal/dogwoodsite"
)

// waitTimeout bounds every wait for a condition. How much of it a wait uses does not affect
// the test's result.
const waitTimeout = time.Minute

type siteKey struct{}

// TestScripts runs each script against a separate local site.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(environment *testscript.Env) error {
			ctx, cancel := context.WithCancel(context.Background())
			site, err := dogwoodsite.Start(ctx, dogwoodsite.Options{
				Shape: dogwoodsite.Hinokuni, Daemons: 6, Logger: hclog.NewNullLogger(), NoDelays: true,
			})
			if err != nil {
				cancel()
				return err
			}
			environment.Values[siteKey{}] = site
			environment.Defer(func() {
				_ = site.Close(ctx)
				cancel()
			})
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"dogwoodctl": ctl,
			"exits":      exits,
			"eventually": eventually,
			"store":      store,
			"engine":     engine,
			"daemon":     daemon,
			"call":       call,
			"replace":    replace,
			"digest":     digest,
		},
	})
}

func siteOf(script *testscript.TestScript) *dogwoodsite.Site {
	return script.Value(siteKey{}).(*dogwoodsite.Site)
}

// runCtl runs dogwoodctl in this process. Arguments that name files of the script are
// resolved relative to the script's directory.
func runCtl(script *testscript.TestScript, arguments []string) (code int, out, err string) {
	site := siteOf(script)
	var addresses []string
	for _, each := range site.Daemons() {
		addresses = append(addresses, each.Admin.String())
	}
	var outBuffer, errBuffer bytes.Buffer
	factory := &dogwoodfactory.Factory{
		Streams:   dogwoodfactory.Streams{In: strings.NewReader(""), Out: &outBuffer, Err: &errBuffer, Terminal: true},
		Addresses: strings.Join(addresses, ","),
		Key:       site.AdminKey,
		Author:    "tester",
		Transport: &http.Transport{DisableKeepAlives: true},
		NewID:     uuid.NewString,
	}
	for i, argument := range arguments {
		if file := script.MkAbs(argument); strings.Contains(argument, ".") && isScriptFile(file, argument) {
			arguments[i] = file
		}
	}
	code = dogwoodroot.Run(context.Background(), factory, arguments)
	return code, outBuffer.String(), errBuffer.String()
}

// isScriptFile reports whether the argument is an existing file of the script or an HTML file
// to be written.
func isScriptFile(file, argument string) bool {
	_, err := os.Stat(file)
	return err == nil || strings.HasSuffix(argument, ".html")
}

// ctl implements "dogwoodctl ARGUMENTS…". The command must succeed, or fail if negated by "!".
func ctl(script *testscript.TestScript, negated bool, arguments []string) {
	code, out, err := runCtl(script, arguments)
	write(script, out, err)
	if (code != 0) != negated {
		script.Fatalf("exit code %d", code)
	}
}

// exits implements "exits CODE dogwoodctl ARGUMENTS…". The command must end with that exit code.
func exits(script *testscript.TestScript, _ bool, arguments []string) {
	want, err := strconv.Atoi(arguments[0])
	script.Check(err)
	code, out, errOut := runCtl(script, arguments[2:])
	write(script, out, errOut)
	if code != want {
		script.Fatalf("got exit code %d, want %d", code, want)
	}
}

// eventually implements "eventually PATTERN dogwoodctl ARGUMENTS…" and "eventually PATTERN call
// ARGUMENTS…". It repeats the command until its output matches, or no longer matches if negated
// by "!".
func eventually(script *testscript.TestScript, negated bool, arguments []string) {
	pattern := regexp.MustCompile(arguments[0])
	deadline := time.Now().Add(waitTimeout)
	for {
		out, errOut := runOnce(script, arguments[1], append([]string(nil), arguments[2:]...))
		if pattern.MatchString(out+errOut) != negated {
			write(script, out, errOut)
			return
		}
		if time.Now().After(deadline) {
			script.Fatalf("condition not met after %s:\n%s%s", waitTimeout, out, errOut)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func runOnce(script *testscript.TestScript, command string, arguments []string) (out, errOut string) {
	if command == "call" {
		return runCall(script, arguments), ""
	}
	_, out, errOut = runCtl(script, arguments)
	return out, errOut
}

func write(script *testscript.TestScript, out, err string) {
	_, _ = io.WriteString(script.Stdout(), out)
	_, _ = io.WriteString(script.Stderr(), err)
}

// store implements "store down" and "store up".
func store(script *testscript.TestScript, _ bool, arguments []string) {
	siteOf(script).Platform.Down(arguments[0] == "down")
}

// engine implements "engine kills-on MARKER": every engine crashes on a prompt that contains
// the marker.
func engine(script *testscript.TestScript, _ bool, arguments []string) {
	for _, each := range siteOf(script).Engines {
		each.KillOn(arguments[1])
	}
}

// daemon implements "daemon kill|stop|restart NAME".
func daemon(script *testscript.TestScript, _ bool, arguments []string) {
	for _, each := range siteOf(script).Daemons() {
		if string(each.VM) != arguments[1] {
			continue
		}
		switch arguments[0] {
		case "kill":
			each.Kill()
		case "stop":
			script.Check(each.Stop(context.Background()))
		case "restart":
			script.Check(each.Restart(context.Background()))
		}
		return
	}
	script.Fatalf("no daemon %s", arguments[1])
}

// call implements "call METHOD PATH CUSTOMER KEY BODY". It sends a request to the first daemon
// that is alive and prints the status and the body of the response. KEY is the idempotency key,
// or "-" for none. CUSTOMER is ignored: the request has the key of the site's first customer.
func call(script *testscript.TestScript, _ bool, arguments []string) {
	write(script, runCall(script, arguments), "")
}

func runCall(script *testscript.TestScript, arguments []string) string {
	site := siteOf(script)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
	for _, each := range site.Daemons() {
		if !each.Alive() {
			continue
		}
		request, err := http.NewRequest(arguments[0], "http://"+each.Serve.String()+arguments[1], strings.NewReader(arguments[4]))
		script.Check(err)
		request.Header.Set("Authorization", "Bearer "+dogwoodsite.Key(site.Shape.Customers[0]))
		if arguments[3] != "-" {
			request.Header.Set("Idempotency-Key", arguments[3])
		}
		response, err := client.Do(request)
		script.Check(err)
		body, err := io.ReadAll(response.Body)
		script.Check(err)
		script.Check(response.Body.Close())
		return fmt.Sprintf("%d %s\n", response.StatusCode, body)
	}
	script.Fatalf("no daemon is alive")
	return ""
}

// digest implements "digest": it sets DIGEST to the digest of the first conviction.
func digest(script *testscript.TestScript, _ bool, _ []string) {
	_, out, _ := runCtl(script, []string{"convictions"})
	script.Setenv("DIGEST", regexp.MustCompile("[0-9a-f]{64}").FindString(out))
}

// replace implements "replace OLD NEW FILE": it replaces the first occurrence.
func replace(script *testscript.TestScript, _ bool, arguments []string) {
	file := script.MkAbs(arguments[2])
	content, err := os.ReadFile(file)
	script.Check(err)
	if !bytes.Contains(content, []byte(arguments[0])) {
		script.Fatalf("%s does not contain %q", arguments[2], arguments[0])
	}
	script.Check(os.WriteFile(file, bytes.Replace(content, []byte(arguments[0]), []byte(arguments[1]), 1), 0o600))
}
