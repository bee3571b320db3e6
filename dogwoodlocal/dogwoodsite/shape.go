package dogwoodsite

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
)

// The names of the known shapes.
const (
	Hinokuni   = "hinokuni"
	Laurentide = "laurentide"
)

// Shape describes a deployment: its data centres, links, services and customers.
type Shape struct {
	Name        string
	Region      dogwoodfleet.Region
	DataCentres []dogwoodfleet.DataCentre
	// LinkLatency is the one-way latency between data centres, CallerLatency that between clients
	// and daemons.
	LinkLatency   time.Duration
	CallerLatency time.Duration
	// Pool is the engine pool, Plain the plain service.
	Pool    dogwoodfleet.Service
	Engines int
	Model   dogwoodfleet.Model
	Plain   dogwoodfleet.Service
	Servers int
	// Customers are sorted by weight in descending order.
	Customers []dogwoodfleet.Customer
}

// shapes holds the users' deployments. A latency given as "a few milliseconds" is set to three.
var shapes = []Shape{
	{
		Name: Hinokuni, Region: "kyushu",
		DataCentres: []dogwoodfleet.DataCentre{"fukuoka-a", "kumamoto-b", "oita-c"},
		LinkLatency: 500 * time.Microsecond, CallerLatency: 3 * time.Millisecond,
		Pool: "model-pool", Engines: 16, Model: "katsura", Plain: "lot-desk", Servers: 3,
		Customers: []dogwoodfleet.Customer{
			"hinokuni", "kurume", "oita", "kagoshima", "dealer-1", "dealer-2", "dealer-3", "dealer-4", "dealer-5", "dealer-6",
		},
	},
	{
		Name: Laurentide, Region: "qc-est",
		DataCentres: []dogwoodfleet.DataCentre{"qc-est-a", "qc-est-b", "qc-est-c"},
		LinkLatency: 1500 * time.Microsecond, CallerLatency: time.Millisecond,
		Pool: "redacteur", Engines: 16, Model: "erable", Plain: "registre", Servers: 3,
		Customers: []dogwoodfleet.Customer{
			"laval", "montreal", "quebec", "gatineau", "sherbrooke", "levis", "saguenay", "trois-rivieres", "terrebonne", "longueuil",
		},
	},
}

// ShapeOf returns the shape with the given name.
func ShapeOf(name string) (Shape, error) {
	for _, shape := range shapes {
		if shape.Name == name {
			return shape, nil
		}
	}
	return Shape{}, Error.New("unknown shape %q; the known shapes are %s and %s", name, Hinokuni, Laurentide)
}

const (
	// largeCustomers is the number of customers with largeWeight; the others have weight 1.
	largeCustomers = 3
	largeWeight    = 4
	// The limits match the load that the stand-ins can handle.
	engineColdLimit = 2
	engineWarmLimit = 16
	serverColdLimit = 2
	serverWarmLimit = 32
)

// Key returns the API key of a customer of a local site.
func Key(customer dogwoodfleet.Customer) string {
	return "local-key-of-" + string(customer)
}

// text returns the operators' text of the shape.
func (shape *Shape) text() dogwoodsettings.Text {
	text := dogwoodsettings.Text{Services: []dogwoodsettings.Service{shape.poolService(), shape.plainService()}}
	for i, customer := range shape.Customers {
		digest := sha256.Sum256([]byte(Key(customer)))
		weight := 1.0
		if i < largeCustomers {
			weight = largeWeight
		}
		text.Customers = append(text.Customers, dogwoodsettings.Customer{
			Name: customer, KeySHA256: []string{hex.EncodeToString(digest[:])}, Weight: weight,
		})
	}
	return text
}

func (shape *Shape) poolService() dogwoodsettings.Service {
	return dogwoodsettings.Service{
		Name: shape.Pool, Kind: dogwoodfleet.EnginePool,
		Deadline: dogwoodsettings.Duration(30 * time.Second), MaxDeadline: dogwoodsettings.Duration(10 * time.Minute),
		ColdLimit: engineColdLimit, WarmLimit: engineWarmLimit, ChecksFencing: true,
		Models: []dogwoodsettings.Model{{Name: shape.Model, Version: "1", Replicas: shape.Engines}},
		Objectives: dogwoodsettings.Objectives{
			InTime: 0.999,
			FirstToken: []dogwoodsettings.FirstTokenObjective{
				{UpToTokens: 4000, Within: dogwoodsettings.Duration(1600 * time.Millisecond), Share: 0.95},
				{UpToTokens: 1_000_000, Within: dogwoodsettings.Duration(20 * time.Second), Share: 0.95},
			},
		},
	}
}

func (shape *Shape) plainService() dogwoodsettings.Service {
	return dogwoodsettings.Service{
		Name: shape.Plain, Kind: dogwoodfleet.PlainService,
		Deadline: dogwoodsettings.Duration(5 * time.Second), MaxDeadline: dogwoodsettings.Duration(30 * time.Second),
		ColdLimit: serverColdLimit, WarmLimit: serverWarmLimit,
		Calls: []dogwoodsettings.Call{
			{Method: "GET", Path: "/stock/{ID}", Repeatable: true},
			{Method: "POST", Path: "/holds", Repeatable: false},
		},
		Objectives: dogwoodsettings.Objectives{InTime: 0.999},
	}
}

// place returns the place of the n-th VM of a kind. VMs are assigned to the data centres
// in rotation.
func (shape *Shape) place(n int) dogwoodfleet.Place {
	return dogwoodfleet.Place{Region: shape.Region, DataCentre: shape.DataCentres[n%len(shape.DataCentres)]}
}

func vmName(kind string, n int) dogwoodfleet.VM {
	return dogwoodfleet.VM(fmt.Sprintf("%s-%02d", kind, n+1))
}
