package emulator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

// ServiceShape is the size of a service in a deployment.
type ServiceShape struct {
	Name    mesh.ServiceName
	Workers int
	// Slots replaces Deployment.Slots when it is not zero.
	Slots int
}

// Deployment is the shape of a mesh: its failure domains, services and workers.
type Deployment struct {
	Name     string
	Domains  []mesh.FailureDomain
	Services []ServiceShape
	// Slots and Connections are the call slots and connections of each worker.
	Slots       int
	Connections int
	// DomainLatency is the one-way latency between failure domains.
	DomainLatency time.Duration
}

// ErrUnknownDeployment is returned when no deployment has the name.
var ErrUnknownDeployment = errors.New("emulator: unknown deployment, want laronda or skovgaard")

// NamedDeployment returns the shape of a deployment by name.
func NamedDeployment(name string) (Deployment, error) {
	switch name {
	case "laronda":
		return Deployment{
			Name: name, Domains: []mesh.FailureDomain{"qx-1", "qx-2", "qx-3"}, Slots: 20, Connections: 100,
			DomainLatency: 500 * time.Microsecond,
			Services:      []ServiceShape{{Name: "route-app", Workers: 5}, {Name: "order-desk", Workers: 3}, {Name: "quality-log", Workers: 3}},
		}, nil
	case "skovgaard":
		return Deployment{
			Name: name, Domains: []mesh.FailureDomain{"jy-1", "jy-2", "jy-3"}, Slots: 10, Connections: 100,
			DomainLatency: time.Millisecond,
			Services:      []ServiceShape{{Name: "catalogue", Workers: 4}, {Name: "orders", Workers: 3}, {Name: "grain-images", Workers: 3}},
		}, nil
	}
	return Deployment{}, errors.Wrapf(ErrUnknownDeployment, "%q", name)
}

// LookupService returns the service that executes look-ups.
func (d Deployment) LookupService() mesh.ServiceName { return d.Services[0].Name }

// OrdersService returns the service that executes keyed calls.
func (d Deployment) OrdersService() mesh.ServiceName { return d.Services[1].Name }

// PhotosService returns the service that executes long uploads.
func (d Deployment) PhotosService() mesh.ServiceName { return d.Services[2].Name }

// servicesOfHosts returns the service of each of n hosts. Hosts beyond the
// deployment's own workers get the services in the same order again.
func (d Deployment) servicesOfHosts(n int) []mesh.ServiceName {
	var pattern []mesh.ServiceName
	for _, s := range d.Services {
		for range s.Workers {
			pattern = append(pattern, s.Name)
		}
	}
	services := make([]mesh.ServiceName, n)
	for i := range services {
		services[i] = pattern[i%len(pattern)]
	}
	return services
}

// SlotsOf returns the number of slots of a worker of the service.
func (d Deployment) SlotsOf(service mesh.ServiceName) int {
	for _, s := range d.Services {
		if s.Name == service && s.Slots > 0 {
			return s.Slots
		}
	}
	return d.Slots
}

// domainNames returns the names of n failure domains, the deployment's own first.
func (d Deployment) domainNames(n int) []mesh.FailureDomain {
	names := append([]mesh.FailureDomain(nil), d.Domains...)
	for i := len(names); i < n; i++ {
		names = append(names, mesh.FailureDomain(fmt.Sprintf("domain-%d", i+1)))
	}
	return names[:n]
}

// Token returns the bearer token of a sample customer.
func Token(customer mesh.CustomerID) string { return "token-of-" + string(customer) }

// Paths of the routes in the lists of a sample deployment.
const (
	PathLookup = "/lookup"
	PathCount  = "/count"
	PathOrder  = "/order"
	PathPhoto  = "/photo"
	PathChain  = "/chain"
)

// Customers in the lists of a sample deployment.
const (
	CustomerPrimary   mesh.CustomerID = "primary"
	CustomerSecondary mesh.CustomerID = "secondary"
)

// SampleLists returns the lists of a sample deployment: look-ups are urgent and
// repeatable, orders keyed, counts bulk, photos bulk and long. The chain routes
// /chain/0 to /chain/6 reach the look-up service at standard rank.
func (d Deployment) SampleLists() lists.Lists {
	l := lists.Lists{}
	for _, c := range []mesh.CustomerID{CustomerPrimary, CustomerSecondary} {
		tokenHash := sha256.Sum256([]byte(Token(c)))
		l[lists.EntryKey{List: lists.ListPlans, Kind: lists.KindCustomer, Name: string(c)}] = lists.Fields{
			"plan": "sample", "token-sha256": hex.EncodeToString(tokenHash[:]),
		}
	}
	addAllowance := func(kind lists.EntryKind, name string, f lists.Fields) {
		l[lists.EntryKey{List: lists.ListAllowances, Kind: kind, Name: name}] = f
	}
	addAllowance(lists.KindPlan, "sample", lists.Fields{"rate-per-second": "100000", "burst": "100000", "concurrency": "100000"})
	for _, s := range d.Services {
		addAllowance(lists.KindService, string(s.Name), lists.Fields{"other-share": "0.2", "long-share": "0.6", "max-queue": "200"})
	}
	addRoute := func(name, path string, service mesh.ServiceName, rank mesh.Rank, deadline string, repeatable, keyed, long bool) {
		addAllowance(lists.KindRoute, "sample/"+name, lists.Fields{
			"service": string(service), "path-prefix": path, "rank": rank.String(), "deadline": deadline,
			"repeatable": strconv.FormatBool(repeatable), "keyed": strconv.FormatBool(keyed), "long": strconv.FormatBool(long),
		})
	}
	addRoute("lookup", PathLookup, d.LookupService(), mesh.RankUrgent, "2s", true, false, false)
	addRoute("count", PathCount, d.LookupService(), mesh.RankBulk, "2s", true, false, false)
	addRoute("order", PathOrder, d.OrdersService(), mesh.RankStandard, "5s", false, true, false)
	addRoute("photo", PathPhoto, d.PhotosService(), mesh.RankBulk, "10m", false, false, true)
	addRoute("photo-check", PathPhoto+"-check", d.PhotosService(), mesh.RankUrgent, "2s", true, false, false)
	for i := range mesh.MaxDepth {
		addRoute("chain-"+strconv.Itoa(i), fmt.Sprintf("%s/%d", PathChain, i), d.LookupService(), mesh.RankStandard, "2s", false, false, false)
	}
	return l
}
