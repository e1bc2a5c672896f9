package backend_test

import (
	"net/netip"
	"slices"
	"time"

	"lentilbend.example/internal/choice"

	"lentilbend.example/lentilbend/internal/exchange"
)

// inOrder chooses the first server that was not tried.
type inOrder struct{}

func (inOrder) Choose(_ time.Time, x *exchange.Exchange, tried []netip.AddrPort) (choice.Call, error) {
	for _, s := range x.Service.Servers {
		if !slices.Contains(tried, s.Address) {
			return call{s.Address, s.Name}, nil
		}
	}
	return nil, choice.ErrNoServer
}

type call struct {
	address netip.AddrPort
	name    string
}

func (c call) Name() string { return c.name }

func (call) Record(time.Time, choice.Notice) {}

func (c call) Basis() choice.Basis { return choice.Basis{} }

func (c call) Server() netip.AddrPort      { return c.address }
func (call) End(time.Time, choice.Outcome) {}

// pausing chooses in order and calls pause after the choice.
type pausing struct {
	inOrder
	pause func()
}

func (p pausing) Choose(now time.Time, x *exchange.Exchange, tried []netip.AddrPort) (choice.Call, error) {
	defer p.pause()
	return p.inOrder.Choose(now, x, tried)
}

// noneAvailable finds no server.
type noneAvailable struct{}

func (noneAvailable) Choose(time.Time, *exchange.Exchange, []netip.AddrPort) (choice.Call, error) {
	return nil, choice.ErrNoServer
}

// freeServers chooses in order among servers that have reported free slots.
type freeServers struct{ inOrder }

func (f freeServers) Choose(now time.Time, x *exchange.Exchange, tried []netip.AddrPort) (choice.Call, error) {
	c, err := f.inOrder.Choose(now, x, tried)
	if err != nil {
		return nil, err
	}
	return freeCall{c.(call)}, nil
}

type freeCall struct{ call }

func (freeCall) Basis() choice.Basis { return choice.Basis{Running: 1, Slots: 6} }

// saturated finds only servers that would answer too late.
type saturated struct{}

func (saturated) Choose(time.Time, *exchange.Exchange, []netip.AddrPort) (choice.Call, error) {
	return nil, &choice.SaturatedError{Expected: time.Second, RetryAfter: 100 * time.Millisecond}
}

// noticeRecorder chooses in order and records the notices of servers.
type noticeRecorder struct {
	inOrder
	notices []choice.Notice
}

func (n *noticeRecorder) Choose(now time.Time, x *exchange.Exchange, tried []netip.AddrPort) (choice.Call, error) {
	c, err := n.inOrder.Choose(now, x, tried)
	if err != nil {
		return nil, err
	}
	return recordedCall{c.(call), n}, nil
}

type recordedCall struct {
	call
	recorder *noticeRecorder
}

func (c recordedCall) Record(_ time.Time, n choice.Notice) {
	c.recorder.notices = append(c.recorder.notices, n)
}
