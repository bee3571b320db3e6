package dogwoodsender

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"

	"dogwoodmux.example/core/dogwoodfleet"
)

// pathEntry is the path of the query for the addresses to use.
const pathEntry = "/v1/entry"

// entryTimeout bounds one query to one address.
const entryTimeout = 2 * time.Second

// entryRetryInterval is how long callers use the cached addresses after a failed query before they
// query again.
const entryRetryInterval = 250 * time.Millisecond

// addresses caches the addresses that one customer's callers may connect to.
type addresses struct {
	key    string
	client *resty.Client
	// seeds are the configured addresses.
	seeds []netip.AddrPort

	mutex     sync.Mutex
	cached    []netip.AddrPort
	expires   time.Time
	querying  bool
	queryDone *sync.Cond
}

// entry is the answer to the query.
type entry struct {
	Addresses   []netip.AddrPort
	KeepSeconds int
}

func newAddresses(transport http.RoundTripper, key string, seeds []netip.AddrPort) *addresses {
	client := resty.NewWithClient(&http.Client{Transport: transport, Timeout: entryTimeout})
	client.SetAuthToken(key)
	client.SetRetryCount(0)
	addresses := &addresses{key: key, client: client, seeds: seeds}
	addresses.queryDone = sync.NewCond(&addresses.mutex)
	return addresses
}

// pick returns the addresses to connect to, in the order to dial them, after a query for them if the
// cached ones have expired. The order is random, so that callers distribute their requests evenly over
// the addresses.
func (addresses *addresses) pick(ctx context.Context) []netip.AddrPort {
	addresses.mutex.Lock()
	defer addresses.mutex.Unlock()
	for time.Now().After(addresses.expires) {
		if addresses.querying {
			addresses.queryDone.Wait()
			continue
		}
		addresses.querying = true
		addresses.mutex.Unlock()
		answer, err := addresses.query(ctx)
		addresses.mutex.Lock()
		addresses.querying = false
		addresses.expires = time.Now().Add(entryRetryInterval)
		if err == nil {
			addresses.cached = answer.Addresses
			addresses.expires = time.Now().Add(time.Duration(answer.KeepSeconds) * time.Second)
		}
		addresses.queryDone.Broadcast()
		break
	}
	picked := slices.Clone(addresses.cached)
	rand.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked
}

// query sends the query to the cached addresses, then to the seeds, until one returns addresses.
func (addresses *addresses) query(ctx context.Context) (entry, error) {
	var lastErr error
	for _, address := range append(addresses.shuffledCached(), addresses.shuffledSeeds()...) {
		response, err := addresses.client.R().SetContext(ctx).Get("http://" + address.String() + pathEntry)
		if err != nil {
			lastErr = err
			continue
		}
		var answer entry
		if response.IsError() {
			lastErr = fmt.Errorf("%s answered %s", address, response.Status())
			continue
		}
		if err := json.Unmarshal(response.Body(), &answer); err != nil {
			lastErr = err
			continue
		}
		if len(answer.Addresses) > 0 {
			return answer, nil
		}
	}
	return entry{}, Error.Wrap(lastErr)
}

func (addresses *addresses) shuffledCached() []netip.AddrPort {
	addresses.mutex.Lock()
	defer addresses.mutex.Unlock()
	return shuffled(addresses.cached)
}

func (addresses *addresses) shuffledSeeds() []netip.AddrPort {
	return shuffled(addresses.seeds)
}

func shuffled(values []netip.AddrPort) []netip.AddrPort {
	values = slices.Clone(values)
	rand.Shuffle(len(values), func(i, j int) { values[i], values[j] = values[j], values[i] })
	return values
}

// Account is a customer and its API key.
type Account struct {
	Customer dogwoodfleet.Customer
	Key      string
}
