package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// host is the host of all requests.
const host = "shop.example"

// requestCount numbers the requests.
var requestCount atomic.Int64

// load sends requests to a VM until ctx ends: every interval one, each in a goroutine of
// its own over kept connections.
func load(ctx context.Context, r *record, v *vm, interval time.Duration, key string) {
	t := &http.Transport{MaxIdleConnsPerHost: 50, DisableCompression: true}
	c := &http.Client{Transport: t}
	defer t.CloseIdleConnections()
	k := time.NewTicker(interval)
	defer k.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-k.C:
		}
		method, path := http.MethodGet, "/look/1"
		if i%3 == 0 {
			method, path = http.MethodPost, "/buy/1"
		}
		go send(r, c, v, method, path, key)
	}
}

// send sends one request and records the answer.
func send(r *record, c *http.Client, v *vm, method, path, key string) int {
	id := fmt.Sprintf("r%06d", requestCount.Add(1))
	var body []byte
	if method == http.MethodPost {
		body = []byte("order " + id)
	}
	return sendBody(r, c, v, id, method, path, key, body, 1500*time.Millisecond)
}

// sendBody sends a request with a body.
func sendBody(r *record, c *http.Client, v *vm, id, method, path, key string, b []byte, deadline time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if b != nil {
		body = bytes.NewReader(b)
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+v.caller()+path, body)
	if err != nil {
		return 0
	}
	q.Host = host
	q.GetBody = nil
	q.Header.Set("Request-Id", id)
	q.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	q.Header.Set("X-Api-Key", key)
	a := answer{sent: r.now(), id: id, vm: v.name, method: method}
	w, err := c.Do(q)
	if err != nil {
		a.got, a.note = r.now(), err.Error()
		r.answered(a)
		return 0
	}
	defer func() { _ = w.Body.Close() }()
	_, err = io.Copy(io.Discard, w.Body)
	a.got, a.status, a.note = r.now(), w.StatusCode, w.Header.Get("Server-Signature")
	if err != nil {
		a.note = err.Error()
	}
	r.answered(a)
	return w.StatusCode
}
