package fleet

import "time"

// Limits of a workspace in one service that no measured load reaches.
const (
	unlimitedRate    = 1e6     // requests per second
	unlimitedRunning = 100_000 // requests running at once
)

// SmallDeployment returns a deployment for scenarios: two services in three data
// centres and the given number of entry VMs.
func SmallDeployment(entries int) Deployment {
	d := Deployment{
		DataCentres: []string{"a", "b", "c"},
		Services: []Service{
			smallService("catalogue", Route{Prefix: "/catalogue/", Kind: "lookup", Method: "GET", Share: 3, Idempotent: true, AnswerSize: 500}),
			smallService("till", Route{Prefix: "/till/", Kind: "sale", Method: "POST", Share: 1, BodySize: 200, AnswerSize: 200}),
		},
	}
	d.Services[0].Routes = append(d.Services[0].Routes, Route{
		Prefix: "/open/", Kind: "open", Method: "GET", Share: 0.5, Idempotent: true, Open: true, Timeout: 2 * time.Second,
	})
	d.AddEntries(entries)
	d.AddWorkspaces(4, func(*Service, float64) Row {
		return Row{Weight: 1, Rate: unlimitedRate, Burst: unlimitedRate, Limit: unlimitedRunning}
	})
	return d
}

func smallService(name string, r Route) Service {
	r.Timeout = 3 * time.Second
	return Service{
		Name:        name,
		Instances:   6,
		Slots:       6,
		Queue:       32,
		Connections: 200,
		ColdRate:    20,
		ColdBurst:   4,
		ColdFor:     20 * time.Second,
		ProbeRate:   2,
		ServiceTime: 5 * time.Millisecond,
		Spread:      0.5,
		Routes:      []Route{r},
	}
}

// AssociationDeployment returns the deployment of the Rwanda Perfume Refill
// Counters Association at its present size.
func AssociationDeployment() Deployment {
	d := Deployment{
		DataCentres: []string{"kigali-1", "kigali-2", "kigali-3"},
		Services: []Service{
			associationService("catalogue", 16, Route{Prefix: "/catalogue/", Kind: "lookup", Method: "GET", Share: 16, Idempotent: true, AnswerSize: 2000}),
			associationService("till", 8, Route{Prefix: "/till/", Kind: "sale", Method: "POST", Share: 8, BodySize: 500, AnswerSize: 300}),
			associationService("sheets", 6, Route{Prefix: "/sheets/", Kind: "sheet", Method: "GET", Share: 6, Idempotent: true, AnswerSize: 20000}),
			associationService("cellar", 6, Route{Prefix: "/cellar/", Kind: "reservation", Method: "POST", Share: 6, BodySize: 500, AnswerSize: 300}),
		},
	}
	d.AddEntries(15)
	d.addUnlimitedWorkspaces()
	return d
}

func associationService(name string, instances int, r Route) Service {
	return customerService(name, instances, 6, 200, 0, r)
}

// SennikDeployment returns the deployment of Sennik Szycie Group at its present
// size.
func SennikDeployment() Deployment {
	d := Deployment{
		DataCentres: []string{"wielkopolska-1", "wielkopolska-2", "wielkopolska-3", "wielkopolska-4"},
		Services: []Service{
			sennikService("magazyn", 20, Route{Prefix: "/magazyn/", Kind: "stock", Method: "GET", Share: 20, Idempotent: true, AnswerSize: 500}),
			sennikService("zamowienia", 10, Route{Prefix: "/zamowienia/", Kind: "order", Method: "POST", Share: 10, BodySize: 1000, AnswerSize: 300}),
			sennikService("wykroje", 8, Route{Prefix: "/wykroje/", Kind: "archive", Method: "GET", Share: 8, Idempotent: true, AnswerSize: 100000}),
			sennikService("wysylka", 8, Route{Prefix: "/wysylka/", Kind: "pickup", Method: "POST", Share: 8, BodySize: 500, AnswerSize: 300}),
		},
	}
	d.AddEntries(16)
	d.addUnlimitedWorkspaces()
	return d
}

func sennikService(name string, instances int, r Route) Service {
	return customerService(name, instances, 4, 250, 5*time.Millisecond, r)
}

// addUnlimitedWorkspaces adds 8 workspaces that never reach a limit.
func (d *Deployment) addUnlimitedWorkspaces() {
	d.AddWorkspaces(8, func(_ *Service, share float64) Row {
		return Row{Weight: share, Rate: unlimitedRate, Burst: unlimitedRate, Limit: unlimitedRunning}
	})
}

// customerService returns a service of a customer's deployment. slots and
// connections are those of one server.
func customerService(name string, instances, slots, connections int, probeTime time.Duration, r Route) Service {
	r.Timeout = 3 * time.Second
	return Service{
		Name:        name,
		Instances:   instances,
		Slots:       slots,
		Queue:       2 * slots,
		Connections: connections,
		ColdRate:    20,
		ColdBurst:   4,
		ColdFor:     20 * time.Second,
		ProbeRate:   float64(instances),
		ServiceTime: 20 * time.Millisecond,
		Spread:      0.5,
		OpenTime:    time.Millisecond,
		ProbeTime:   probeTime,
		Routes:      []Route{r},
	}
}
