package choice

// Policy is a load balancing policy: one of the types below.
type Policy interface {
	policy()
}

// Random picks a random server.
type Random struct{}

// RoundRobin picks the servers in turn.
type RoundRobin struct{}

// LeastOfTwo picks the one of two random servers that has fewer requests of this
// VM in flight.
type LeastOfTwo struct{}

// Informed picks the server with the least expected time until the answer, by
// everything that the Set knows. Use NewInformed.
type Informed struct {
	// ReportDecayTime is the decay time of a load report, in mean latencies.
	ReportDecayTime float64
	// Uncertainty is the uncertainty of the number of requests at a server
	// without a recent report, in requests.
	Uncertainty float64
	// Tolerance is the fraction by which expected times may exceed the least
	// one and still count as equal.
	Tolerance float64
	// LatenessWeight is the weight of the lateness of calls in flight.
	LatenessWeight float64
	// SlownessDecayTime is the decay time of a server's slowness, in mean
	// latencies.
	SlownessDecayTime float64
}

func (Random) policy()     {}
func (RoundRobin) policy() {}
func (LeastOfTwo) policy() {}
func (Informed) policy()   {}

// NewInformed returns the policy with its default parameters.
func NewInformed() Informed {
	return Informed{ReportDecayTime: 1, Uncertainty: 1.5, Tolerance: 0.05, LatenessWeight: 1, SlownessDecayTime: 0.5}
}
