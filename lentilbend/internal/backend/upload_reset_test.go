package backend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// listenForUploads listens as a backend server that answers each request, before its body
// is in, with a 200 without a length, and then ends the connection.
func listenForUploads(end func(c *net.TCPConn)) netip.AddrPort {
	return listen(func(n net.Conn) {
		c := n.(*net.TCPConn)
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+r.Header.Get("Request-Id")+"\r\nServer-Signature: s1\r\n\r\nbody")
		time.Sleep(5 * time.Millisecond)
		end(c)
	}).Addr().(*net.TCPAddr).AddrPort()
}

// uploadHTTP1 sends a body in parts, with pauses, until the answer has been read. It
// reports whether that was complete.
func uploadHTTP1(vm netip.AddrPort, pause time.Duration) bool {
	c, err := net.Dial("tcp", vm.String())
	if err != nil {
		return false
	}
	defer c.Close()
	go func() {
		_, err := fmt.Fprintf(c, "POST /sale/1 HTTP/1.1\r\nHost: a\r\nX-Api-Key: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n", goodKey, requestID)
		for err == nil {
			time.Sleep(pause)
			_, err = fmt.Fprintf(c, "3e8\r\n%01000d\r\n", 0)
		}
	}()
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && isWhole(a)
}

// uploadHTTP2 is like uploadHTTP1, over HTTP/2.
func uploadHTTP2(e *entry, client http.RoundTripper, pause time.Duration) bool {
	body, parts := io.Pipe()
	defer body.Close()
	go func() {
		var err error
		for err == nil {
			time.Sleep(pause)
			_, err = fmt.Fprintf(parts, "%01000d", 0)
		}
	}()
	r, err := http.NewRequest("POST", e.URL+"/sale/1", body)
	if err != nil {
		return false
	}
	r.Header = http.Header{"X-Api-Key": {goodKey}, "Request-Id": {requestID}, "Deadline-Ms": {"2000"}}
	a, err := client.RoundTrip(r)
	return err == nil && isWhole(a)
}

// isWhole reports whether an answer is that of listenForUploads, and complete.
func isWhole(a *http.Response) bool {
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return err == nil && a.StatusCode == http.StatusOK && string(b) == "body"
}

// Guards against a part of an answer that is passed on as a whole one.
var _ = DescribeTable("an answer without a length that comes while the request is written", func(h2, reset bool) {
	server := listenForUploads(func(c *net.TCPConn) {
		if reset {
			_ = c.SetLinger(0)
			return
		}
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	e := newDeploymentEntry(server)
	t := &http.Transport{Protocols: new(http.Protocols)}
	t.Protocols.SetUnencryptedHTTP2(true)
	DeferCleanup(t.CloseIdleConnections)
	vm := startHTTP1(e)
	// Short pauses make it likely that a write, and not the read, gets the error of the
	// reset. Without a reset, longer ones keep the body below its limit.
	step := time.Millisecond
	if reset {
		step = 100 * time.Microsecond
	}
	var whole atomic.Int64
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for j := range 20 {
				pause := time.Duration(1+(i+j)%4) * step
				if h2 && uploadHTTP2(e, t, pause) || !h2 && uploadHTTP1(vm, pause) {
					whole.Add(1)
				}
			}
		})
	}
	group.Wait()
	if reset {
		Expect(whole.Load()).To(BeZero())
	} else {
		Expect(whole.Load()).To(BeEquivalentTo(160))
	}
},
	Entry("is not complete if the server resets the connection, HTTP/1.1", false, true),
	Entry("is not complete if the server resets the connection, HTTP/2", true, true),
	Entry("is complete if the server half-closes the connection, HTTP/1.1", false, false),
	Entry("is complete if the server half-closes the connection, HTTP/2", true, false),
)
