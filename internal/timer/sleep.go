package timer

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done. It returns false if ctx is done.
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
