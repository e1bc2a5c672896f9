package platform

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"lentilbend.example/lentilbend/internal/store"
)

// retryWait is the time between reads after one failed.
const retryWait = time.Second

// watchWait is how long the platform may hold back the answer of a watch.
const watchWait = 30 * time.Second

// Watcher keeps the store up to date. Set the exported fields before Run.
type Watcher struct {
	Client *Client
	Store  *store.Store
	Logger log.Logger
}

// Run reads until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := w.step(ctx); err != nil && ctx.Err() == nil {
			_ = level.Warn(w.Logger).Log("msg", "Read failed.", "err", err)
			sleep(ctx, retryWait)
		}
	}
	return nil
}

func (w *Watcher) step(ctx context.Context) error {
	since := w.Store.Newest()
	a, err := w.Client.Values(ctx, since, watchWait)
	if err != nil {
		return err
	}
	w.Store.ApplyPlatform(since, a)
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
