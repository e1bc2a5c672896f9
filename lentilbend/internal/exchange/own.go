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

// keyScheme is the authentication scheme of a key, compared without case.
const keyScheme = "bearer"

// Own is the product's own interface.
var Own = &dialect.Dialect{
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

var errTimeout = errors.New("exchange: not a duration within its bounds")

func parseTimeout(v string) (time.Duration, error) {
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 || d > timeoutLongest {
		return 0, errTimeout
	}
	return d, nil
}

// bearerKey returns the key of the only Authorization header.
func bearerKey(h http.Header) (string, bool) {
	vs := h["Authorization"]
	if len(vs) != 1 {
		return "", false
	}
	s, k, ok := strings.Cut(vs[0], " ")
	k = strings.Trim(k, " ")
	if !ok || !strings.EqualFold(s, keyScheme) || k == "" {
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
