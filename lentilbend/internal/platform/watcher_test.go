package platform_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/event"
	"lentilbend.example/internal/platformpb"

	"lentilbend.example/lentilbend/internal/platform"
	"lentilbend.example/lentilbend/internal/store"
)

// watched is a source that notes when it was read.
type watched struct {
	mu    sync.Mutex
	reads []time.Time
	err   error
}

func (w *watched) read() (*platformpb.ValuesAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reads = append(w.reads, time.Now())
	return &platformpb.ValuesAnswer{Revision: 1}, w.err
}

func (w *watched) All(context.Context) (*platformpb.ValuesAnswer, error) { return w.read() }

func (w *watched) Changes(ctx context.Context, _ uint64, wait time.Duration) (*platformpb.ValuesAnswer, error) {
	a, err := w.read()
	select {
	case <-ctx.Done():
	case <-time.After(min(wait, 20*time.Millisecond)):
	}
	return a, err
}

func (w *watched) Calls() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return uint64(len(w.reads))
}

// watch runs a watcher of a VM that has a table and is no reader.
func watch(s *watched, vms int, covered func() (time.Duration, bool)) *platform.Watcher {
	t := &store.Store{Bus: event.NewBus(), Logger: log.NewNopLogger()}
	t.ApplyPlatform(0, &platformpb.ValuesAnswer{Revision: 1, Values: []*platformpb.Value{
		{Name: "DataCentres", Revision: 1, Text: "DataCentre = []"},
		{Name: "Routes", Revision: 1, Text: "Route = []"},
		{Name: "Workspaces", Revision: 1, Text: "Workspace = []"},
	}})
	Expect(t.Table()).NotTo(BeNil())
	w := &platform.Watcher{
		Source:    s,
		Store:     t,
		Logger:    log.NewNopLogger(),
		Forgotten: func(error) bool { return false },
		Reads:     func() bool { return false },
		OnRead:    func() {},
		Covered:   covered,
		VMs:       func() int { return vms },
	}
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() { _ = w.Run(ctx) }()
	return w
}

var _ = Describe("Watcher", func() {
	It("reads nothing while a peer is known to read", func() {
		s := &watched{}
		watch(s, 18, func() (time.Duration, bool) { return time.Second, true })
		Consistently(s.Calls, "500ms").Should(BeZero())
	})

	It("reads soon when no peer is known to read, on each VM of a fleet of any size", func() {
		var ss []*watched
		for range 20 {
			s := &watched{}
			watch(s, 141, func() (time.Duration, bool) { return 0, false })
			ss = append(ss, s)
		}
		for _, s := range ss {
			Eventually(s.Calls, "600ms").Should(BeNumerically(">", 0))
		}
	})

	It("tells how old its knowledge is only while its reads succeed", func() {
		s := &watched{}
		w := watch(s, 1, func() (time.Duration, bool) { return 0, false })
		Eventually(func() bool {
			_, ok := w.ReadAge(time.Now())
			return ok
		}, "2s").Should(BeTrue())
		s.mu.Lock()
		s.err = errors.New("away")
		s.mu.Unlock()
		n := s.Calls()
		Eventually(func() bool {
			_, ok := w.ReadAge(time.Now())
			return ok
		}, "2s").Should(BeFalse())
		Consistently(func() uint64 { return s.Calls() - n }, "1s").Should(BeNumerically("<", 12))
	})
})
