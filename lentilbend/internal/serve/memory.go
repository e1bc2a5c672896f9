package serve

import (
	"os"
	"runtime/debug"
)

// Settings of the garbage collector. The live heap is small, so the library's
// default would collect tens of times a second under load.
const collectPercent = 800

// tuneMemory lets the heap grow before it is collected, up to a limit in bytes.
// The environment's GOGC and GOMEMLIMIT go before it.
func tuneMemory(limit int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(limit)
	}
}
