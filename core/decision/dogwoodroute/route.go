// Package dogwoodroute looks up the parts of the operators' text that apply to a request: the route
// by host and path, the service by weight and the customer by key. A Table holds one version of the
// text and is immutable, so all lookups for a request use the same version.
package dogwoodroute

import (
	"crypto/sha256"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"dogwoodmux.example/core/decision/dogwoodenginetime"
	"dogwoodmux.example/core/dogwoodfleet"
)

// Repeat defines whether a route's requests may be repeated.
type Repeat string

// The kinds of repetition.
const (
	// Idempotent requests may run more than once.
	Idempotent Repeat = "Idempotent"
	// Once requests may run at most once.
	Once Repeat = "Once"
	// Stream requests are answered by a series of events.
	Stream Repeat = "Stream"
)

// Split assigns a weighted share of a route's requests to one service.
type Split struct {
	Service dogwoodfleet.Service
	Weight  float64
}

// Route defines how requests for one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Repeat Repeat
	// Resumable streams may be continued at another endpoint.
	Resumable bool
	// Timeout is the maximum time a request waits for its answer.
	Timeout time.Duration
	// Aim is the target time to the answer, or to the first event of a stream. Pause is the
	// longest acceptable pause between two events.
	Aim, Pause time.Duration
	// Attempts is the maximum number of endpoints that may run one request.
	Attempts int
	// Public routes need no key.
	Public bool
	// Rank orders waiting requests; 0 goes first.
	Rank   int
	Splits []Split
}

// Pick selects a service for one request at random, by weight. It returns "", which no endpoint has, if no service has a weight above 0.
func (route *Route) Pick(random *rand.Rand) dogwoodfleet.Service {
	total := 0.0
	for _, split := range route.Splits {
		total += max(split.Weight, 0)
	}
	remaining := random.Float64() * total
	var picked dogwoodfleet.Service
	for _, split := range route.Splits {
		if split.Weight <= 0 {
			continue
		}
		picked = split.Service // also if rounding leaves some of the weight
		if remaining -= split.Weight; remaining < 0 {
			break
		}
	}
	return picked
}

// Service holds the configuration of a service's endpoints.
type Service struct {
	Name dogwoodfleet.Service
	// ColdPerSecond is the limit of requests per second to a cold endpoint; 0 means no limit.
	ColdPerSecond float64
	// Engine is nil for plain services.
	Engine *dogwoodenginetime.Engine
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// Idle is the maximum idle time of a caller's connection.
	Idle time.Duration
}

// keyDigest is the hash of a key. Lookups use the hash so that their timing reveals nothing
// about the key.
type keyDigest [sha256.Size]byte

// Table holds one version of the operators' text.
type Table struct {
	Version      int64
	Limits       Limits
	routes       map[string][]Route // by host, longest prefix first
	services     map[dogwoodfleet.Service]Service
	customers    map[keyDigest]dogwoodfleet.Customer
	ranks        map[dogwoodfleet.Customer]int
	keysRequired bool
}

// Access says who may send requests.
type Access struct {
	// KeysRequired is true if requests for routes that are not public need a key, also if no customer has one.
	KeysRequired bool
	Customers    []Customer
}

// Customer holds a customer's name and keys.
type Customer struct {
	Name dogwoodfleet.Customer
	Keys []string
	// Rank takes precedence over the ranks of routes; nil if the customer has none.
	Rank *int
}

// routeRanks is the number of ranks of routes that are told apart among requests of one rank. Larger ones count as the last.
const routeRanks = 100

// Urgency returns a number that orders requests for this route with the given rank among those for all routes; lower goes first. The rank
// decides, which is the customer's if it has one. Among equal ones the route's own rank does: most customers have the same rank, and
// their long prompts for a route of low rank must not delay their short ones.
func (route *Route) Urgency(rank int) int {
	return rank*routeRanks + min(max(route.Rank, 0), routeRanks-1)
}

// NewTable returns a Table of the given routes, services and customers.
func NewTable(version int64, limits Limits, routes []Route, services []Service, access Access) *Table {
	table := &Table{
		Version: version, Limits: limits,
		routes:       map[string][]Route{},
		services:     map[dogwoodfleet.Service]Service{},
		customers:    map[keyDigest]dogwoodfleet.Customer{},
		ranks:        map[dogwoodfleet.Customer]int{},
		keysRequired: access.KeysRequired,
	}
	for _, route := range routes {
		table.routes[route.Host] = append(table.routes[route.Host], route)
	}
	for _, hostRoutes := range table.routes {
		slices.SortStableFunc(hostRoutes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, service := range services {
		table.services[service.Name] = service
	}
	for _, customer := range access.Customers {
		for _, key := range customer.Keys {
			if key == "" { // a request without a key has none of a customer
				continue
			}
			table.customers[sha256.Sum256([]byte(key))] = customer.Name
		}
		if customer.Rank != nil {
			table.ranks[customer.Name] = *customer.Rank
		}
	}
	return table
}

// Route returns the route for a host and path, or false if there is none. If no route has the
// host with its port, the host without the port is used.
func (table *Table) Route(host, path string) (*Route, bool) {
	routes, ok := table.routes[host]
	if !ok {
		if hostname, _, err := net.SplitHostPort(host); err == nil {
			routes = table.routes[hostname]
		}
	}
	for i := range routes {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return &routes[i], true
		}
	}
	return nil, false
}

// Service returns the configuration of a service, or false if there is none.
func (table *Table) Service(name dogwoodfleet.Service) (Service, bool) {
	service, ok := table.services[name]
	return service, ok
}

// NeedsKey reports whether requests for the route need a key.
func (table *Table) NeedsKey(route *Route) bool {
	return table.keysRequired && !route.Public
}

// Customer returns the customer that the key belongs to, or false if the key is unknown.
func (table *Table) Customer(key string) (dogwoodfleet.Customer, bool) {
	customer, ok := table.customers[sha256.Sum256([]byte(key))]
	return customer, ok
}

// Rank returns the rank of a customer's requests for the route.
func (table *Table) Rank(route *Route, customer dogwoodfleet.Customer) int {
	if rank, ok := table.ranks[customer]; ok {
		return rank
	}
	return route.Rank
}
