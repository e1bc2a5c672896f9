package dialect

import (
	"net/http"
	"strconv"
	"time"
)

// maxRetryAfter bounds the value of a Retry-After field, in seconds.
const maxRetryAfter = 3600

// ParseRetryAfter returns the time in the Retry-After field of an answer, a number of
// seconds that may have a fraction. It returns 0 for a missing or invalid field and
// for more than one hour.
func ParseRetryAfter(h http.Header) time.Duration {
	n, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(n > 0 && n <= maxRetryAfter) {
		return 0
	}
	return time.Duration(n * float64(time.Second))
}
