// Package backend forwards requests to backend servers.
package backend

import (
	"io"
	"math/rand/v2"
	"net/http"

	"lentilbend.example/lentilbend/internal/exchange"
)

// Forwarder is the last handler of the row. Set the exported fields before
// use.
type Forwarder struct {
	Transport *http.Transport
}

// noBody is an empty body that the transport cannot send again, so that it
// never repeats a request by itself.
type noBody struct{}

func (noBody) Read([]byte) (int, error) { return 0, io.EOF }
func (noBody) Close() error             { return nil }

// Serve forwards x to a backend server and passes the answer on.
func (f *Forwarder) Serve(x *exchange.Exchange) {
	ss := x.Service.Servers
	if len(ss) == 0 {
		x.Refuse(exchange.Refusal{
			Status: http.StatusServiceUnavailable,
			Run:    exchange.NotRun,
			Reason: "The service has no backend server.",
		})
		return
	}
	s := ss[rand.IntN(len(ss))]
	r := x.Request.Clone(x.Request.Context())
	r.URL.Scheme = "http"
	r.URL.Host = s.Address.String()
	r.RequestURI = ""
	r.Header.Del("Authorization")
	if r.ContentLength == 0 {
		r.Body = noBody{}
	}
	a, err := f.Transport.RoundTrip(r)
	if err != nil {
		x.Refuse(exchange.Refusal{
			Status: http.StatusBadGateway,
			Run:    exchange.RunUnknown,
			Reason: "The backend server gave no answer.",
		})
		return
	}
	f.pass(x, a)
}

func (f *Forwarder) pass(x *exchange.Exchange, a *http.Response) {
	defer func() { _ = a.Body.Close() }()
	h := x.Writer.Header()
	for k, vs := range a.Header {
		h[k] = vs
	}
	x.Writer.WriteHeader(a.StatusCode)
	if _, err := io.Copy(x.Writer, a.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
