package dogwooddaemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodburn"
	"dogwoodmux.example/core/dogwoodadminapi"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/edge/dogwoodadmin"
	"dogwoodmux.example/core/edge/dogwoodserver"
	"dogwoodmux.example/core/state/dogwoodchange"
)

// operatorsStandin stands in for what operators' requests reach. Changes and reports take the time that it says.
type operatorsStandin struct {
	change, report time.Duration
	begun          chan struct{}
}

func (standin *operatorsStandin) Submit(context.Context, dogwoodchange.Change) (dogwoodchange.Accepted, error) {
	close(standin.begun)
	time.Sleep(standin.change)
	return dogwoodchange.Accepted{Version: 8, Kept: true}, nil
}

func (*operatorsStandin) Current() dogwoodchange.View { return dogwoodchange.View{Version: 7} }

func (*operatorsStandin) Since(uint64) dogwoodchange.News { return dogwoodchange.News{} }

func (standin *operatorsStandin) Report(ctx context.Context) dogwoodburn.Report {
	close(standin.begun)
	select {
	case <-time.After(standin.report):
	case <-ctx.Done():
	}
	return dogwoodburn.Report{}
}

// operatorsFixture is a server of operators on a loopback address.
type operatorsFixture struct {
	callerFixture
	handler *dogwoodadmin.Server
	server  *dogwoodserver.Server
}

func startOperatorsFixture(t *testing.T, standin *operatorsStandin, network Network) *operatorsFixture {
	t.Helper()
	logger := hclog.NewNullLogger()
	listener, err := newSeverableNetwork(network).Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	handler := dogwoodadmin.New(dogwoodadmin.Options{Key: "key", Changes: standin, Burn: standin, Logger: logger})
	fixture := &operatorsFixture{handler: handler, server: newOperatorsServer(t.Context(), handler, newLimits(&dogwoodsettings.Daemon{}), logger)}
	fixture.listener = fixture.server.Track(listener)
	fixture.start(t.Context(), t, func(ctx context.Context) error {
		return serveOperators(ctx, fixture.handler, fixture.server, fixture.listener)
	})
	return fixture
}

// stop ends the server as a daemon does that has the given time left, and returns what wait waits for.
func (fixture *operatorsFixture) stop(t *testing.T, left time.Duration) (wait func() error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), left)
	stopped := make(chan error, 1)
	var group sync.WaitGroup
	group.Go(func() { stopped <- drainOperators(ctx, fixture.handler, fixture.server) })
	t.Cleanup(func() {
		group.Wait()
		cancel()
	})
	return func() error { return <-stopped }
}

// query is an operator's query, and takeOut an operator's change.
const query = "GET " + dogwoodadminapi.PathText + " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key\r\n\r\n"

var takeOut = request(dogwoodadminapi.PathTakeOuts, takeOutBody, len(takeOutBody))

const takeOutBody = `{"ID":"1","Author":"me","VM":"engine-1"}`

// operatorsStops are the ways in which the server of operators ends.
var operatorsStops = []struct {
	name string
	left time.Duration
}{
	{"time is left", 20 * time.Second},
	{"callers' requests used the time up", 0},
}

// Guards against operators' requests that arrive while the daemon closes its connections, and get no answer: net/http counts a
// connection as idle until the whole head of its next request has arrived.
func TestShutdownRefusesArrivingOperatorsRequests(t *testing.T) {
	tests := []struct {
		name    string
		kept    bool // a request was answered before
		request string
		before  int // the number of bytes that are sent before the shutdown
	}{
		{"the head in parts, on a kept connection", true, query, len(query) / 2},
		{"the head in parts, on a new connection", false, query, len(query) / 2},
		{"just after the shutdown began, on a kept connection", true, query, 0},
		{"just after the shutdown began, on a new connection", false, query, 0},
		{"the body in parts", false, takeOut, len(takeOut) - 5},
	}
	for _, stop := range operatorsStops {
		for _, test := range tests {
			t.Run(stop.name+"/"+test.name, func(t *testing.T) {
				t.Parallel()
				fixture := startOperatorsFixture(t, &operatorsStandin{}, tcpNetwork{})
				conn := fixture.open(t, "")
				if test.kept {
					_, _ = io.WriteString(conn, query) // a failure shows as no answer
					if response, _, err := conn.read(); err != nil || response.Close {
						t.Fatalf("got %v, %v, want an answer on a connection that is kept", response, err)
					}
				}
				_, _ = io.WriteString(conn, test.request[:test.before])
				time.Sleep(50 * time.Millisecond) // it arrives
				fixture.stop(t, stop.left)
				time.Sleep(50 * time.Millisecond)
				_, _ = io.WriteString(conn, test.request[test.before:])
				conn.checkRefusal(t)
			})
		}
	}
}

// Guards against operators' connections that wait at the listener when it closes, and that the kernel resets with their requests
// unread.
func TestShutdownAcceptsWaitingOperators(t *testing.T) {
	for _, stop := range operatorsStops {
		t.Run(stop.name, func(t *testing.T) {
			t.Parallel()
			fixture := startOperatorsFixture(t, &operatorsStandin{}, heldNetwork{})
			var waiting []*keptConn
			for range 20 {
				waiting = append(waiting, fixture.open(t, query))
			}
			fixture.stop(t, stop.left)
			for _, conn := range waiting {
				conn.checkRefusal(t)
			}
		})
	}
}

// Guards against a refusal that its operator never reads, since the daemon closes the connection while a text of the operators
// arrives and a reset destroys the answer.
func TestRefusalOfOperatorArrivesBesideUnreadBody(t *testing.T) {
	const parts, size = 10, 3 << 20
	fixture := startOperatorsFixture(t, &operatorsStandin{}, tcpNetwork{})
	conn := fixture.open(t, "")
	fixture.stop(t, 20*time.Second)
	time.Sleep(50 * time.Millisecond)
	_, _ = io.WriteString(conn, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n",
		dogwoodadminapi.PathText, size/parts*parts))
	for range parts {
		time.Sleep(20 * time.Millisecond)
		if _, err := io.WriteString(conn, strings.Repeat("b", size/parts)); err != nil {
			t.Errorf("sending the body: %v", err)
			break
		}
	}
	conn.checkRefusal(t)
}

// Guards against an operator whose change is cut without an answer, although it is in force, because the time to shut down was
// used up by callers' requests.
func TestChangeInProgressIsAnsweredAtTheEndOfAShutdown(t *testing.T) {
	for _, stop := range operatorsStops {
		t.Run(stop.name, func(t *testing.T) {
			t.Parallel()
			standin := &operatorsStandin{change: 100 * time.Millisecond, begun: make(chan struct{})}
			fixture := startOperatorsFixture(t, standin, tcpNetwork{})
			conn := fixture.open(t, takeOut)
			<-standin.begun
			wait := fixture.stop(t, stop.left)
			if err := wait(); err != nil {
				t.Errorf("got %v, want a server whose requests are all answered", err)
			}
			response, body, err := conn.read()
			if err != nil || response.StatusCode != http.StatusOK {
				t.Fatalf("got %v, %v, want an answer", response, err)
			}
			var accepted dogwoodadminapi.Accepted
			if err := json.Unmarshal(body, &accepted); err != nil || accepted.Version != 8 {
				t.Errorf("got %s, %v, want the change accepted", body, err)
			}
		})
	}
}

// Guards against a report that shows daemons as silent since the shutdown ended the calls to them.
func TestReportIsWholeAtTheEndOfAShutdown(t *testing.T) {
	const burn = "GET " + dogwoodadminapi.PathBurn + " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key\r\n\r\n"
	tests := []struct {
		name string
		left time.Duration
		want int
	}{
		{"time is left", 20 * time.Second, http.StatusOK},
		{"callers' requests used the time up", 0, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			standin := &operatorsStandin{report: 1500 * time.Millisecond, begun: make(chan struct{})}
			fixture := startOperatorsFixture(t, standin, tcpNetwork{})
			conn := fixture.open(t, burn)
			<-standin.begun
			fixture.stop(t, test.left)
			if response, body, err := conn.read(); err != nil || response.StatusCode != test.want {
				t.Errorf("got %v, %s, %v, want the status %d", response, body, err, test.want)
			}
		})
	}
}

// Guards against an operator's command that fails since the first daemon that it asks leaves.
func TestOperatorsClientAsksAnotherDaemonThanOneThatLeaves(t *testing.T) {
	leaving, serving := startOperatorsFixture(t, &operatorsStandin{}, tcpNetwork{}), startOperatorsFixture(t, &operatorsStandin{}, tcpNetwork{})
	leaving.handler.RejectRequests()
	addresses := []netip.AddrPort{}
	for _, fixture := range []*operatorsFixture{leaving, serving} {
		addresses = append(addresses, fixture.listener.Addr().(*net.TCPAddr).AddrPort())
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	if _, err := dogwoodadminapi.NewClient(transport, addresses, "key").Text(t.Context()); err != nil {
		t.Errorf("got %v, want the answer of the second daemon", err)
	}
	_, err := dogwoodadminapi.NewClient(transport, addresses[:1], "key").Text(t.Context())
	var unreachable *dogwoodadminapi.Unreachable
	if !errors.As(err, &unreachable) || !strings.Contains(err.Error(), "ending") {
		t.Errorf("got %v, want an error that no daemon answers, as the only one leaves", err)
	}
}

// Guards against an operator who is told that a daemon refused a change of which another one's answer was lost: it may have been made.
func TestOperatorsClientTellsOfALostAnswer(t *testing.T) {
	losing, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	defer group.Wait()
	defer func() { _ = losing.Close() }()
	group.Go(func() {
		for {
			connection, err := losing.Accept()
			if err != nil {
				return
			}
			_, _ = connection.Read(make([]byte, 1))
			_ = connection.Close()
		}
	})
	leaving := startOperatorsFixture(t, &operatorsStandin{}, tcpNetwork{})
	leaving.handler.RejectRequests()
	addresses := []netip.AddrPort{losing.Addr().(*net.TCPAddr).AddrPort(), leaving.listener.Addr().(*net.TCPAddr).AddrPort()}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	_, err = dogwoodadminapi.NewClient(transport, addresses, "key").Text(t.Context())
	var unreachable *dogwoodadminapi.Unreachable
	if !errors.As(err, &unreachable) || strings.Contains(err.Error(), "ending") {
		t.Errorf("got %v, want the error of the answer that was lost", err)
	}
}
