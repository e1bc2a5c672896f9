package http1

import (
	"errors"
	"net/http"
	"sync/atomic"
)

// maxIdleWorkers is how many goroutines wait for a request. Their stacks have grown
// to the size that a request needs.
const maxIdleWorkers = 32

// workers runs the handlers of requests on goroutines that are used again. The zero
// value is ready for use.
type workers struct {
	idle  atomic.Int64
	queue atomic.Pointer[chan *response]
}

// run serves a request in a goroutine of its own.
func (w *workers) run(r *response) {
	q := w.channel()
	select {
	case q <- r:
	default:
		go w.work(r, q)
	}
}

// channel returns the channel at which idle workers wait.
func (w *workers) channel() chan *response {
	if q := w.queue.Load(); q != nil {
		return *q
	}
	q := make(chan *response)
	w.queue.CompareAndSwap(nil, &q)
	return *w.queue.Load()
}

// work serves a request and then those that come while the worker is idle.
func (w *workers) work(r *response, q chan *response) {
	for {
		r.serve()
		if w.idle.Add(1) > maxIdleWorkers {
			w.idle.Add(-1)
			return
		}
		r = <-q
		w.idle.Add(-1)
	}
}

// serve calls the handler and writes the end of the answer.
func (r *response) serve() {
	ok := r.handle()
	if r.body != nil {
		r.body.abandon()
	}
	if !ok || r.finish() != nil {
		r.abortInTurn()
	}
	r.conn.endAnswer()
}

// handle calls the handler and returns false after a panic.
func (r *response) handle() (ok bool) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		ok = false
		if e, isErr := v.(error); isErr && errors.Is(e, http.ErrAbortHandler) {
			return
		}
		if r.conn.server.Panicked != nil {
			r.conn.server.Panicked(v)
		}
	}()
	if r.refusal != nil {
		r.conn.server.Refuse(r, r.request, r.refusal)
	} else {
		r.conn.server.Handler.ServeHTTP(r, r.request)
	}
	return true
}

// abortInTurn aborts the connection after the answers before this one have been
// written.
func (r *response) abortInTurn() {
	r.mu.Lock()
	r.waitTurn()
	r.mu.Unlock()
	r.conn.abort(r)
}
