package relay_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"lentilbend.example/internal/event"
	"lentilbend.example/internal/peerpb"
	"lentilbend.example/internal/platformpb"

	"lentilbend.example/lentilbend/internal/platform"
	"lentilbend.example/lentilbend/internal/relay"
	"lentilbend.example/lentilbend/internal/store"
)

// maxApplyTime is the time within which a change must be in force on all VMs.
const maxApplyTime = 2 * time.Second

// slowFleet is a fleet in virtual time whose frames can be slow. The first VM is the
// designated reader of the store and the second one forwards reads.
type slowFleet struct {
	mu sync.Mutex
	// delay returns how long a message between two VMs is under way.
	delay func(from, to int) time.Duration
	// refused are the VMs that the platform's store turns away.
	refused map[int]bool
	// revision is that of the store, and changed is closed when it grows.
	revision uint64
	changed  chan struct{}

	vms []*slowVM
}

// slowVM is one VM of a slowFleet. It implements relay.Peers and platform.Source.
type slowVM struct {
	fleet *slowFleet
	index int
	relay *relay.Relay
}

// slowAddress returns the address of a VM. Its port is the index plus 1.
func slowAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(i+1))
}

func (f *slowFleet) vmAt(a netip.AddrPort) *slowVM {
	return f.vms[a.Port()-1]
}

// startSlowFleet starts n VMs without delays.
func startSlowFleet(ctx context.Context, n int) *slowFleet {
	f := &slowFleet{
		delay:    func(int, int) time.Duration { return time.Millisecond },
		refused:  map[int]bool{},
		revision: 1,
		changed:  make(chan struct{}),
	}
	var watchers []*platform.Watcher
	var all, coordinators []netip.AddrPort
	for i := range n {
		all = append(all, slowAddress(i))
	}
	coordinators = all[:2]
	for i := range n {
		b := event.NewBus()
		v := &slowVM{fleet: f, index: i}
		members := coordinators
		if i < 2 {
			members = all
		}
		v.relay = &relay.Relay{
			Store:          &store.Store{Bus: b, Logger: log.NewNopLogger()},
			List:           &platform.ListStore{Bus: b},
			Bus:            b,
			Peers:          v,
			Logger:         log.NewNopLogger(),
			Members:        func() []netip.AddrPort { return members },
			PullHedgeDelay: 400 * time.Millisecond,
			ForwardsReads:  func() bool { return i == 1 },
		}
		w := &platform.Watcher{
			Source:           v,
			Store:            v.relay.Store,
			Logger:           log.NewNopLogger(),
			IsHistoryDropped: func(error) bool { return false },
			IsReader:         func() bool { return i == 0 },
			OnRead:           v.relay.AnnounceRead,
			PeerReadAge:      v.relay.PeerReadAge,
			LiveVMCount:      func() int { return n },
			ProcessStart:     time.Now(),
			InitialWait:      100 * time.Millisecond,
		}
		v.relay.ReadAge = w.ReadAge
		f.vms = append(f.vms, v)
		watchers = append(watchers, w)
	}
	for i, v := range f.vms {
		go func() { _ = v.relay.Run(ctx) }()
		go func() { _ = watchers[i].Run(ctx) }()
	}
	return f
}

func (f *slowFleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *slowFleet) delayBetween(from, to int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from == to {
		return 0
	}
	return f.delay(from, to)
}

// edit changes the table in the store.
func (f *slowFleet) edit() {
	f.set(func() {
		f.revision++
		close(f.changed)
		f.changed = make(chan struct{})
	})
}

// expectInForce fails the test if one of the VMs does not have the newest revision.
func (f *slowFleet) expectInForce(t *testing.T, vms []*slowVM) {
	t.Helper()
	f.mu.Lock()
	want := f.revision
	f.mu.Unlock()
	for _, v := range vms {
		if got := v.relay.Store.Accepted().Revision; got != want {
			age, known := v.relay.PeerReadAge()
			t.Errorf("VM %d has revision %d, want %d; age of the newest read of a peer: %v (known: %v)", v.index, got, want, age, known)
		}
	}
}

func (v *slowVM) Send(to netip.AddrPort, m *peerpb.Frame) bool {
	o := v.fleet.vmAt(to)
	if o == v {
		return false
	}
	sent := time.Now()
	time.AfterFunc(v.fleet.delayBetween(v.index, o.index), func() {
		o.relay.Receive(sent, slowAddress(v.index), m.GetConfig())
	})
	return true
}

func (v *slowVM) Pull(ctx context.Context, to netip.AddrPort, q *peerpb.PullRequest) (*peerpb.PullAnswer, error) {
	o := v.fleet.vmAt(to)
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(v.fleet.delayBetween(v.index, o.index) + v.fleet.delayBetween(o.index, v.index)):
		return o.relay.AnswerPull(q), nil
	}
}

// All returns the table of the store.
func (v *slowVM) All(ctx context.Context) (*platformpb.ValuesAnswer, error) {
	return v.Changes(ctx, 0, 0)
}

// Changes returns the table of the store if it changed after a revision. The wait for
// a change is long enough.
func (v *slowVM) Changes(ctx context.Context, after uint64, wait time.Duration) (*platformpb.ValuesAnswer, error) {
	f := v.fleet
	end := time.After(wait)
	for {
		f.mu.Lock()
		r, changed, refused := f.revision, f.changed, f.refused[v.index]
		f.mu.Unlock()
		if refused {
			return nil, errors.New("refused")
		}
		if r > after {
			return &platformpb.ValuesAnswer{Revision: r, Values: []*platformpb.Value{
				{Name: "DataCentres", Revision: 1, Text: "DataCentre = []"},
				{Name: "Routes", Revision: 1, Text: "Route = []"},
				{Name: "Workspaces", Revision: r, Text: fmt.Sprintf("Workspace = [] # %d", r)},
			}}, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-end:
			return &platformpb.ValuesAnswer{Revision: r}, nil
		case <-changed:
		}
	}
}

func (*slowVM) Calls() uint64 { return 0 }

// runSlowFleet runs a test with a fleet of n VMs that have had a table for a while.
func runSlowFleet(t *testing.T, n int, test func(f *slowFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := startSlowFleet(ctx, n)
		time.Sleep(5 * time.Second)
		f.expectInForce(t, f.vms)
		test(f)
		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against VMs that rely on announcements of a reader with a narrow link, which
// are old when they arrive, and so get a change too late.
func TestChangeIsInForceInTimeIfTheReaderIsSlow(t *testing.T) {
	runSlowFleet(t, 12, func(f *slowFleet) {
		f.set(func() {
			f.delay = func(from, _ int) time.Duration {
				if from == 0 {
					return 900 * time.Millisecond
				}
				return time.Millisecond
			}
		})
		for range 20 {
			time.Sleep(3100 * time.Millisecond)
			f.edit()
			time.Sleep(maxApplyTime)
			f.expectInForce(t, f.vms)
		}
	})
}

// Guards against reads that are announced back and forth and look newer each time, so
// that no VM of a large fleet notices that the store turns the reader away; and against
// a VM that never completes a pull over a slow link. The reader itself depends on pulls.
func TestChangeIsInForceInTimeIfTheReaderIsRefused(t *testing.T) {
	runSlowFleet(t, 141, func(f *slowFleet) {
		f.set(func() { f.delay = func(int, int) time.Duration { return 280 * time.Millisecond } })
		time.Sleep(2 * time.Second)
		f.set(func() { f.refused[0] = true })
		for range 20 {
			time.Sleep(3100 * time.Millisecond)
			f.edit()
			time.Sleep(maxApplyTime)
			f.expectInForce(t, f.vms[1:])
			time.Sleep(maxApplyTime)
			f.expectInForce(t, f.vms)
		}
	})
}
