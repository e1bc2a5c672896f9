package platform_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lentilbend.example/lentilbend/internal/platform"
)

// failedWatchers are watchers of a large fleet, in virtual time, whose last read failed
// and most of which wait for several seconds.
type failedWatchers struct {
	watchers []*platform.Watcher
	// isReader says that the VMs are designated readers, live is how many VMs they
	// hear, and peersRead says that a peer is known to read.
	isReader  atomic.Bool
	live      atomic.Int64
	peersRead atomic.Bool
}

// readAll reports whether all watchers read the platform.
func (f *failedWatchers) readAll() bool {
	for _, w := range f.watchers {
		if _, ok := w.ReadAge(time.Now()); !ok {
			return false
		}
	}
	return true
}

// Guards against a VM that keeps waiting after a failed read although no other VM can
// read the platform for it any longer, so that a change is in force too late.
func TestReadAfterFailedRead(t *testing.T) {
	for name, c := range map[string]struct {
		change func(f *failedWatchers)
		within time.Duration
	}{
		"of a VM that becomes a designated reader": {
			func(f *failedWatchers) { f.isReader.Store(true) }, 1500 * time.Millisecond,
		},
		"of a VM that hears no other VM": {
			func(f *failedWatchers) { f.live.Store(1) }, 1500 * time.Millisecond,
		},
		"of a VM that relied on a peer meanwhile": {
			func(f *failedWatchers) {
				f.peersRead.Store(true)
				time.Sleep(200 * time.Millisecond)
				f.peersRead.Store(false)
			}, 600 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := &failedWatchers{}
				f.live.Store(141)
				var sources []*fakeSource
				for range 20 {
					s := &fakeSource{err: errors.New("platform is unreachable")}
					w := newWatcher(newStoreWithTable(), s, func() (time.Duration, bool) { return 0, f.peersRead.Load() })
					w.IsReader = f.isReader.Load
					w.LiveVMCount = func() int { return int(f.live.Load()) }
					go func() { _ = w.Run(ctx) }()
					f.watchers, sources = append(f.watchers, w), append(sources, s)
				}
				time.Sleep(450 * time.Millisecond)
				for i, s := range sources {
					if s.Calls() == 0 {
						t.Fatalf("watcher %d has not read yet", i)
					}
					s.setError(nil)
				}
				c.change(f)
				time.Sleep(c.within)
				if !f.readAll() {
					t.Errorf("not all watchers have read within %v", c.within)
				}
			})
		})
	}
}
