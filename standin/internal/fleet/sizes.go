package fleet

import "time"

// Rates that no measured load reaches.
const (
	freeRate  = 1e6
	freeLimit = 100_000
)

// Small returns a deployment of two services on three data centres with the
// given number of entry VMs, for scenarios.
func Small(entries int) Deployment {
	d := Deployment{
		Centres: []string{"a", "b", "c"},
		Services: []Service{
			small("catalogue", Route{Prefix: "/catalogue/", Kind: "lookup", Method: "GET", Share: 3, Idempotent: true, AnswerSize: 500}),
			small("till", Route{Prefix: "/till/", Kind: "sale", Method: "POST", Share: 1, BodySize: 200, AnswerSize: 200}),
		},
	}
	d.Services[0].Routes = append(d.Services[0].Routes, Route{
		Prefix: "/open/", Kind: "open", Method: "GET", Share: 0.5, Idempotent: true, Open: true, Timeout: 2 * time.Second,
	})
	d.AddEntries(entries)
	d.AddWorkspaces(4, func(*Service, float64) Row {
		return Row{Weight: 1, Rate: freeRate, Burst: freeRate, Limit: freeLimit}
	})
	return d
}

func small(name string, r Route) Service {
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

// Association returns the deployment of the Rwanda Perfume Refill Counters
// Association at today's size.
func Association() Deployment {
	d := Deployment{
		Centres: []string{"kigali-1", "kigali-2", "kigali-3"},
		Services: []Service{
			association("catalogue", 16, Route{Prefix: "/catalogue/", Kind: "lookup", Method: "GET", Share: 16, Idempotent: true, AnswerSize: 2000}),
			association("till", 8, Route{Prefix: "/till/", Kind: "sale", Method: "POST", Share: 8, BodySize: 500, AnswerSize: 300}),
			association("sheets", 6, Route{Prefix: "/sheets/", Kind: "sheet", Method: "GET", Share: 6, Idempotent: true, AnswerSize: 20000}),
			association("cellar", 6, Route{Prefix: "/cellar/", Kind: "reservation", Method: "POST", Share: 6, BodySize: 500, AnswerSize: 300}),
		},
	}
	d.AddEntries(15)
	d.addFreeWorkspaces()
	return d
}

func association(name string, instances int, r Route) Service {
	return today(name, instances, 6, 200, 0, r)
}

// Sennik returns the deployment of Sennik Szycie Group at today's size.
func Sennik() Deployment {
	d := Deployment{
		Centres: []string{"wielkopolska-1", "wielkopolska-2", "wielkopolska-3", "wielkopolska-4"},
		Services: []Service{
			sennik("magazyn", 20, Route{Prefix: "/magazyn/", Kind: "stock", Method: "GET", Share: 20, Idempotent: true, AnswerSize: 500}),
			sennik("zamowienia", 10, Route{Prefix: "/zamowienia/", Kind: "order", Method: "POST", Share: 10, BodySize: 1000, AnswerSize: 300}),
			sennik("wykroje", 8, Route{Prefix: "/wykroje/", Kind: "archive", Method: "GET", Share: 8, Idempotent: true, AnswerSize: 100000}),
			sennik("wysylka", 8, Route{Prefix: "/wysylka/", Kind: "pickup", Method: "POST", Share: 8, BodySize: 500, AnswerSize: 300}),
		},
	}
	d.AddEntries(16)
	d.addFreeWorkspaces()
	return d
}

func sennik(name string, instances int, r Route) Service {
	return today(name, instances, 4, 250, 5*time.Millisecond, r)
}

func (d *Deployment) addFreeWorkspaces() {
	d.AddWorkspaces(8, func(_ *Service, share float64) Row {
		return Row{Weight: share, Rate: freeRate, Burst: freeRate, Limit: freeLimit}
	})
}

func today(name string, instances, slots, connections int, probe time.Duration, r Route) Service {
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
		ProbeTime:   probe,
		Routes:      []Route{r},
	}
}
