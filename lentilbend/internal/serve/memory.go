package serve

import (
	"os"
	"runtime/debug"
)

// configureGC sets the garbage collector's memory limit, in bytes, and its target
// percentage. The environment variables GOGC and GOMEMLIMIT take precedence.
func configureGC(memoryLimit int64, gcPercent int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
