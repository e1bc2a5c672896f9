package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"lentilbend.example/platform/platformtest"

	"lentilbend.example/standin/internal/fleet"
)

// callTimeout is how long a caller waits for an answer. The request carries the
// same deadline.
const callTimeout = 1500 * time.Millisecond

// call is a request and its outcome as the caller saw it.
type call struct {
	id, key    string
	atMostOnce bool // must not run more than once
	start      time.Time
	status     int // 0 if no complete answer was received
	body       string
	signature  string // of the server that answered
	echoedID   string // request ID in the answer
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}}

// runCaller sends requests to random VMs until ctx ends, and records the calls. It
// waits for the answer to the last request even if ctx has ended.
func (s *Soak) runCaller(ctx context.Context, caller int) {
	r := rand.New(rand.NewPCG(s.Seed, uint64(100+caller)))
	for i := 0; ctx.Err() == nil; i++ {
		key := platformtest.SouthKey
		if r.IntN(2) == 0 {
			key = "north-key"
		}
		e := s.fleet.Entries[r.IntN(len(s.fleet.Entries))]
		c := s.sendCall(context.WithoutCancel(ctx), e, r.IntN(2) == 0, key, fmt.Sprintf("c%d-%d", caller, i))
		s.mu.Lock()
		s.calls = append(s.calls, c)
		s.mu.Unlock()
		time.Sleep(meanCallPause/2 + time.Duration(r.Int64N(int64(meanCallPause))))
	}
}

func (s *Soak) sendCall(ctx context.Context, e *fleet.Entry, atMostOnce bool, key, id string) call {
	c := call{id: id, key: key, atMostOnce: atMostOnce, start: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	method, path := http.MethodGet, "/look/1"
	if atMostOnce {
		method, path = http.MethodPost, "/buy/1"
	}
	r, err := platformtest.NewRequest(ctx, method, "http://"+e.Caller.String(), path, key, id, callTimeout)
	if err != nil {
		return c
	}
	a, err := client.Do(r)
	if err != nil {
		return c
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return c
	}
	c.status, c.body = a.StatusCode, strings.TrimSpace(string(b))
	c.signature, c.echoedID = platformtest.Signature(a.Header), platformtest.RequestID(a.Header)
	return c
}
