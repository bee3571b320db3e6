package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"dogwoodmux.example/platform/dogwoodstandin"
	"dogwoodmux.example/platform/dogwoodwire"
)

// Ports as in the example of the pages. Each machine and server has a loopback address of its own.
const (
	frontPort, readinessPort, directoryPort = 8227, 8220, 8224
	firstInternalPort, metricsPort          = 7340, 7355
	storePort, serverPort                   = 8223, 8120
)

const (
	host   = "ficu95.example"
	region = "kyushu"
)

var zones = []string{"fukuoka-a", "kumamoto-b", "oita-c"}

//go:embed settings.toml
var settingsTemplate string

// errCannotRun means that a case could not run, so that it shows nothing.
var errCannotRun = errors.New("the case could not run")

// record is the file that tells what was sent, answered and run.
type record struct {
	started time.Time
	mutex   sync.Mutex
	file    io.Writer
}

// log writes a line with the time since the start.
func (record *record) log(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(record.started).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = io.WriteString(record.file, line) // a record that can't be written shows as incomplete
}

// machine is a machine of the system with its process.
type machine struct {
	name, zone, settings string
	ip                   netip.Addr
	store                netip.AddrPort
	channels             *silenceable // those to the store
	process              *exec.Cmd
}

func (machine *machine) front() string {
	return net.JoinHostPort(machine.ip.String(), fmt.Sprint(frontPort))
}

func (machine *machine) directory() string {
	return net.JoinHostPort(machine.ip.String(), fmt.Sprint(directoryPort))
}

// options are the figures of a deployment.
type options struct {
	machines int
	// ratio and slack bound retries.
	ratio, slack float64
	services     []service
}

// service is a service with its servers.
type service struct {
	name    string
	servers int
	options dogwoodstandin.EndpointOptions
	// wrap changes what the servers answer; nil for nothing.
	wrap func(server string, handler http.Handler) http.Handler
}

// deployment is the platform with its machines and servers.
type deployment struct {
	record   *record
	options  options
	folder   string
	program  string
	store    *store
	control  *dogwoodstandin.StoreControl
	machines []*machine

	mutex    sync.Mutex
	arrivals []dogwoodstandin.Arrival
}

// newAddress returns a loopback address whose ports are free.
func newAddress(ports ...uint16) (netip.Addr, error) {
	for range 100 {
		address := netip.AddrFrom4([4]byte{127, byte(20 + rand.IntN(200)), byte(rand.IntN(256)), byte(1 + rand.IntN(250))})
		if areFree(address, ports) {
			return address, nil
		}
	}
	return netip.Addr{}, fmt.Errorf("%w: no free address", errCannotRun)
}

func areFree(address netip.Addr, ports []uint16) bool {
	for _, port := range ports {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(address, port).String()) //nolint:noctx // it is closed at once
		if err != nil {
			return false
		}
		_ = listener.Close() // it has accepted nothing
	}
	return true
}

// serve serves a handler at a port of a new address.
func serve(port uint16, handler http.Handler) (netip.AddrPort, error) {
	address, _, err := serveSilenceable(port, handler)
	return address, err
}

// serveSilenceable serves a handler at a port of a new address, on channels that can go silent.
func serveSilenceable(port uint16, handler http.Handler) (netip.AddrPort, *silenceable, error) {
	ip, err := newAddress(port)
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	address := netip.AddrPortFrom(ip, port)
	listener, err := net.Listen("tcp", address.String()) //nolint:noctx // it lasts as long as the process
	if err != nil {
		return address, nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	channels := &silenceable{Listener: listener}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(channels) }() // it ends with the process
	return address, channels, nil
}

// start starts the store, servers and machines, and waits until all machines are ready.
func start(record *record, program string, options options, text *dogwoodstandin.Text) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	deployment := &deployment{record: record, options: options, folder: folder, program: program, store: newStore()}
	writers, err := serve(storePort, deployment.store.writers())
	if err != nil {
		return deployment, err
	}
	deployment.control = dogwoodstandin.NewStoreControl(writers)
	if err := deployment.publish(text); err != nil {
		return deployment, err
	}
	for _, service := range options.services {
		for number := range service.servers {
			if err := deployment.addServer(service, number); err != nil {
				return deployment, err
			}
		}
	}
	for number := range options.machines {
		if err := deployment.addMachine(number); err != nil {
			return deployment, err
		}
	}
	for _, machine := range deployment.machines {
		if err := deployment.run(machine, true); err != nil {
			return deployment, err
		}
	}
	for _, machine := range deployment.machines {
		if err := machine.awaitReady(); err != nil {
			return deployment, err
		}
	}
	record.log("all %d machines are ready", len(deployment.machines))
	return deployment, nil
}

// publish writes the manifest. Its return is the store's confirmation.
func (deployment *deployment) publish(text *dogwoodstandin.Text) error {
	encoded, err := text.Encode()
	if err != nil {
		return err
	}
	deployment.store.put(dogwoodwire.OperatorTable, dogwoodwire.TextKey, encoded)
	return nil
}

// addServer starts a server and registers it.
func (deployment *deployment) addServer(service service, number int) error {
	endpointOptions, name := service.options, fmt.Sprintf("i-%s-%d", service.name, number)
	endpointOptions.ID, endpointOptions.Service, endpointOptions.DataCentre = name, service.name, zones[number%len(zones)]
	endpointOptions.Record = func(arrival dogwoodstandin.Arrival) {
		deployment.mutex.Lock()
		deployment.arrivals = append(deployment.arrivals, arrival)
		deployment.mutex.Unlock()
		deployment.record.log("server %s: request %s path %s tenant %q, runs: %t", name, arrival.RequestID, arrival.Path, arrival.Customer, arrival.Ran)
	}
	// The address is known only once the server listens.
	var handler http.Handler
	address, err := serve(serverPort, http.HandlerFunc(func(writer http.ResponseWriter, received *http.Request) { handler.ServeHTTP(writer, received) }))
	if err != nil {
		return err
	}
	endpointOptions.AnnouncedAddress = address
	endpoint := dogwoodstandin.NewEndpoint(endpointOptions)
	handler = endpoint
	if service.wrap != nil {
		handler = service.wrap(name, endpoint)
	}
	return endpoint.Announce(context.Background(), deployment.control, false)
}

func (deployment *deployment) addMachine(number int) error {
	ip, err := newAddress(frontPort, readinessPort, directoryPort, firstInternalPort, firstInternalPort+1, metricsPort)
	if err != nil {
		return err
	}
	machine := &machine{name: fmt.Sprintf("front-%s-%d", zones[number%len(zones)], number/len(zones)+1), zone: zones[number%len(zones)], ip: ip}
	if machine.store, machine.channels, err = serveSilenceable(storePort, deployment.store.handler(machine.name)); err != nil {
		return err
	}
	machine.settings = filepath.Join(deployment.folder, machine.name+".toml")
	deployment.machines = append(deployment.machines, machine)
	return nil
}

// writeSettings writes a machine's settings file. The rename makes the change atomic.
func (deployment *deployment) writeSettings(machine *machine, bootstrap bool) error {
	replaced := strings.NewReplacer("@NAME@", machine.name, "@IP@", machine.ip.String(), "@ZONE@", machine.zone, "@BOOTSTRAP@", fmt.Sprint(bootstrap),
		"@RATIO@", fmt.Sprint(deployment.options.ratio), "@SLACK@", fmt.Sprint(deployment.options.slack), "@STORE@", machine.store.String())
	written := machine.settings + ".new"
	if err := os.WriteFile(written, []byte(replaced.Replace(settingsTemplate)), 0o600); err != nil {
		return err
	}
	return os.Rename(written, machine.settings)
}

// run starts a machine's process with the command of the deploy file.
func (deployment *deployment) run(machine *machine, bootstrap bool) error {
	if err := deployment.writeSettings(machine, bootstrap); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(deployment.folder, machine.name+".log"))
	if err != nil {
		return err
	}
	process := exec.CommandContext(context.Background(), deployment.program, "serve", "-metrics", fmt.Sprint(metricsPort)) //nolint:gosec // the program under test
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=/tmp", "LANG=C", dogwoodstandin.SettingsVariable + "=" + machine.settings}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the case
	if err := process.Start(); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	machine.process = process
	return nil
}

// awaitReady asks for readiness as the platform does, until the machine is ready.
func (machine *machine) awaitReady() error {
	url := "http://" + net.JoinHostPort(machine.ip.String(), fmt.Sprint(readinessPort)) + dogwoodwire.ReadinessPath
	for range 150 {
		if status, _, _ := get(url); status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%w: %s is not ready", errCannotRun, machine.name)
}

// get sends a GET request on a new connection.
func get(url string) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // read errors are reported
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// resolve asks a machine where to connect.
func (machine *machine) resolve() ([]netip.AddrPort, error) {
	status, body, err := get("http://" + machine.directory() + dogwoodstandin.DirectoryTarget(host, machine.zone))
	if err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("%w: the directory answered %d: %w", errCannotRun, status, err)
	}
	return dogwoodstandin.Addresses(body)
}

// ran returns how often servers ran a request.
func (deployment *deployment) ran(id string) int {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	count := 0
	for i := range deployment.arrivals {
		if arrival := &deployment.arrivals[i]; arrival.RequestID == id && arrival.Ran {
			count++
		}
	}
	return count
}

// stop ends all processes. The logs are kept beside the record if KEEP names a folder.
func (deployment *deployment) stop() {
	for _, machine := range deployment.machines {
		if machine.process != nil {
			_ = machine.process.Process.Kill() // it may have ended
			_ = machine.process.Wait()         // it was killed
		}
	}
	if os.Getenv("KEEP") != "" {
		deployment.record.log("logs are kept in %s", deployment.folder)
		return
	}
	_ = os.RemoveAll(deployment.folder) // it is in the folder for temporary files
}
