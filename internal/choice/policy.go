package choice

// Policy is a way to choose: one of the types below.
type Policy interface {
	policy()
}

// Random picks any server.
type Random struct{}

// RoundRobin picks the servers in turn.
type RoundRobin struct{}

// LeastOfTwo picks of two random servers the one with fewer own requests in
// flight.
type LeastOfTwo struct{}

// Informed picks the server where the request is expected to end first, by all
// that is known here. Use NewInformed.
type Informed struct {
	// Fade is how long a load report counts, in mean latencies.
	Fade float64
	// Spread is the uncertainty of a faded report, in requests.
	Spread float64
	// Near is how much more than the least expected time counts as equal.
	Near float64
	// Late is the weight of the lateness of calls in flight.
	Late float64
	// Slow is how long the slowness of ended calls counts, in mean latencies.
	Slow float64
}

func (Random) policy()     {}
func (RoundRobin) policy() {}
func (LeastOfTwo) policy() {}
func (Informed) policy()   {}

// NewInformed returns the policy with its usual parameters.
func NewInformed() Informed {
	return Informed{Fade: 1, Spread: 1.5, Near: 0.05, Late: 1, Slow: 0.5}
}
