package serve

import (
	"os"
	"runtime/debug"
)

// tuneMemory lets the heap grow by a percentage before it is collected, up to a
// limit in bytes.
// The environment's GOGC and GOMEMLIMIT go before it.
func tuneMemory(limit int64, garbage int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(garbage)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(limit)
	}
}
