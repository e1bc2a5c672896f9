package backend

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"lentilbend.example/internal/choice"
	"lentilbend.example/internal/table"

	"lentilbend.example/lentilbend/internal/exchange"
)

// Chooser picks the backend server of a request.
type Chooser interface {
	// Choose returns a call to a server of x.Service that is not in tried. The
	// caller ends the call. The error is choice.ErrNoServer, or of type
	// *choice.SaturatedError.
	Choose(now time.Time, x *exchange.Exchange, tried []netip.AddrPort) (choice.Call, error)
}

// Rerouter is a Chooser that can also tell when a call in flight should be
// rerouted.
type Rerouter interface {
	Chooser
	// ShouldReroute reports whether the request would end sooner if its call
	// were given up for one to a server that is not in tried.
	ShouldReroute(x *exchange.Exchange, c choice.Call, tried []netip.AddrPort) bool
}

// Random chooses a random server in any data centre whose state is In.
type Random struct{}

// Choose returns a call to a random server.
func (Random) Choose(_ time.Time, x *exchange.Exchange, tried []netip.AddrPort) (choice.Call, error) {
	ss := x.Service.Servers
	if len(ss) == 0 {
		return nil, choice.ErrNoServer
	}
	first := rand.IntN(len(ss))
	for i := range ss {
		s := ss[(first+i)%len(ss)]
		c, ok := x.Table.DataCentre(s.DataCentre)
		if ok && c.State == table.CentreIn && !slices.Contains(tried, s.Address) {
			return randomCall{server: s.Address, name: s.Name}, nil
		}
	}
	return nil, choice.ErrNoServer
}

type randomCall struct {
	server netip.AddrPort
	name   string
}

func (c randomCall) Server() netip.AddrPort        { return c.server }
func (randomCall) Basis() choice.Basis             { return choice.Basis{Age: -1} }
func (c randomCall) Name() string                  { return c.name }
func (randomCall) Record(time.Time, choice.Notice) {}
func (randomCall) End(time.Time, choice.Outcome)   {}
