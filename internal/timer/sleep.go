package timer

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done, and reports whether ctx is not done.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return ctx.Err() == nil
	}
}
