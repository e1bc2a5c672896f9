package exchange

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lentilbend.example/internal/dialect"
	"lentilbend.example/internal/load"
)

// authScheme is the HTTP authentication scheme of a key, compared without case.
const authScheme = "bearer"

// DefaultDialect is the product's own dialect, used where the deployment has
// none.
var DefaultDialect = &dialect.Dialect{
	Timeout:           TimeoutHeader,
	ParseTimeout:      parseTimeout,
	FormatTimeout:     FormatTimeout,
	Attempt:           AttemptHeader,
	Workspace:         WorkspaceHeader,
	Key:               bearerKey,
	CredentialHeaders: []string{"Authorization", "Proxy-Authorization"},
	NotRun:            func(_ int, h http.Header) bool { return h.Get(load.RunHeader) == load.NotRun },
	ParseLoad:         loadReport,
	PrivateHeaders:    []string{load.Header, load.RunHeader, RunHeader},
	RunStatus:         RunHeader,
	FormatRetryAfter:  func(d time.Duration) string { return strconv.Itoa(int(math.Ceil(d.Seconds()))) },
	AddForwarded:      true,
}

var errInvalidTimeout = errors.New("exchange: timeout is malformed or out of range")

func parseTimeout(v string) (time.Duration, error) {
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 || d > maxTimeout {
		return 0, errInvalidTimeout
	}
	return d, nil
}

// bearerKey returns the key in the Authorization header; false when the header
// is absent, present more than once or malformed.
func bearerKey(h http.Header) (string, bool) {
	vs := h["Authorization"]
	if len(vs) != 1 {
		return "", false
	}
	s, k, ok := strings.Cut(vs[0], " ")
	k = strings.Trim(k, " ")
	if !ok || !strings.EqualFold(s, authScheme) || k == "" {
		return "", false
	}
	return k, true
}

func loadReport(h http.Header) (load.Report, bool) {
	vs := h[load.Header]
	if len(vs) == 0 {
		return load.Report{}, false
	}
	return load.Parse(strings.Join(vs, ", "))
}
