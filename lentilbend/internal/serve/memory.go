package serve

import (
	"os"
	"runtime/debug"
)

// Settings of the garbage collector. The live heap is small, so the library's
// default would collect tens of times a second under load.
const (
	collectPercent = 800
	memoryLimit    = 200 << 20 // bytes
)

// tuneMemory lets the heap grow before it is collected, within the memory of a
// small VM. The environment's GOGC and GOMEMLIMIT go before it.
func tuneMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
