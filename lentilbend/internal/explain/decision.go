package explain

import (
	"fmt"

	"lentilbend.example/internal/choice"
)

// Decision is what a VM would do with a request.
type Decision string

// Values of Decision.
const (
	// DecisionSend means that one of the candidates gets the request.
	DecisionSend Decision = "Send"
	// DecisionSendCold means that a server on trial, or a cold one if there is a token
	// for it, gets the request before the candidates.
	DecisionSendCold Decision = "SendCold"
	// DecisionQueue means that the request waits at the admission gate, and may be
	// refused there.
	DecisionQueue Decision = "Queue"
	// DecisionSaturated means that the request is refused since no server can answer in
	// time.
	DecisionSaturated Decision = "Saturated"
	// DecisionPaused means that the request is refused since all servers asked for a
	// pause.
	DecisionPaused Decision = "Paused"
	// DecisionNoServer means that the request is refused since no server may get it.
	DecisionNoServer Decision = "NoServer"
	// DecisionNoService means that the request is refused since the table lacks the
	// service.
	DecisionNoService Decision = "NoService"
	// DecisionUnknown means that the VM has not yet taken the service into use.
	DecisionUnknown Decision = "Unknown"
)

// decide returns what happens to a request of a service. A request passes the gate before
// a server is chosen.
func decide(s *Service) Decision {
	switch {
	case s.Table == nil:
		return DecisionNoService
	case s.Choice == nil:
		return DecisionUnknown
	case !s.Gate.Admits:
		return DecisionQueue
	}
	n := s.Choice.countUses()
	first := n[choice.UseTrial] + n[choice.UseAllowance]
	switch {
	case first > 0 && s.Choice.ColdFirst:
		return DecisionSendCold
	case n[choice.UseCandidate] == 0 && s.Choice.PauseLeft > 0:
		return DecisionPaused
	case n[choice.UseCandidate] == 0:
		return DecisionNoServer
	case s.Choice.Saturated != nil:
		return DecisionSaturated
	}
	return DecisionSend
}

// countUses returns how many servers have each use.
func (c *Choice) countUses() map[choice.Use]int {
	n := map[choice.Use]int{}
	for _, v := range c.Servers {
		n[v.Use]++
	}
	return n
}

// sentence describes the decision.
func (s *Service) sentence() string {
	switch s.Decision {
	case DecisionSend:
		return fmt.Sprintf("%s gets it", candidates(s.Choice))
	case DecisionSendCold:
		return fmt.Sprintf("a server on trial, or a cold one if the allowance has a token for it, gets it; else %s", candidates(s.Choice))
	case DecisionQueue:
		if s.Gate.QueueFull {
			return "the gate's queue is full: it is refused, or another waiting request in its place"
		}
		return "it waits at the gate, and is refused if that takes too long"
	case DecisionSaturated:
		return fmt.Sprintf("it is refused with Retry-After of about %s, since the best server is expected to answer after %s", s.Choice.Saturated.RetryAfter, s.Choice.Saturated.Expected)
	case DecisionPaused:
		return fmt.Sprintf("it is refused, since all servers asked for a pause; the first one ends in %s", s.Choice.PauseLeft)
	case DecisionNoServer:
		return "it is refused, since no server may get it"
	case DecisionNoService:
		return "it is refused, since the service is not in the table"
	case DecisionUnknown:
		return "not known, since this VM has not yet taken the service into use"
	}
	return string(s.Decision)
}

func candidates(c *Choice) string {
	switch n := c.countUses()[choice.UseCandidate]; n {
	case 0:
		return "no other server"
	case 1:
		return "the only candidate"
	default:
		return fmt.Sprintf("a random one of %d candidates", n)
	}
}
