package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Sizes and times of the case.
const (
	pipelineConns    = 10
	pipelineRequests = 3
	pipelineWork     = 300 * time.Millisecond
	// pipelineDelay is the time from the signal to the requests.
	pipelineDelay = 500 * time.Millisecond
)

// lookup returns the bytes of a request on the safe route.
func lookup(id string) string {
	return fmt.Sprintf("GET /look/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nX-Api-Key: %s\r\n\r\n", host, id, key)
}

// readAnswer reads one answer and its whole body.
func readAnswer(b *bufio.Reader) (*http.Response, string, error) {
	a, err := http.ReadResponse(b, nil)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	return a, string(body), err
}

// playPipeline stops an entry VM. Clients with open connections send it requests one
// behind the other, which the VM reads and does not answer.
func playPipeline(r *record, trouble bool) string {
	d := newDeployment(2)
	defer d.close()
	d.store.Put("op/config", config(1, []string{"cat"}, []rule{{"look", "safe", "/look/", "cat", 3 * time.Second, 2}}))
	var is []*instance
	for n := range 4 {
		i := newInstance(d.store, fmt.Sprintf("i-%d", n+1), "cat", pipelineWork)
		defer i.close()
		is = append(is, i)
	}
	for _, v := range d.vms {
		d.start(v, true)
	}
	for _, v := range d.vms {
		v.awaitReady()
	}
	time.Sleep(stableWindow + time.Second)
	v := d.vms[0]
	var g sync.WaitGroup
	start := make(chan struct{})
	var mu sync.Mutex
	var lost []string
	for n := range pipelineConns {
		c, err := net.Dial("tcp", v.frontend)
		check(err)
		defer func() { _ = c.Close() }()
		b := bufio.NewReader(c)
		id := fmt.Sprintf("warm-%d", n)
		_, err = io.WriteString(c, lookup(id))
		check(err)
		a, _, err := readAnswer(b)
		check(err)
		r.add("conn %d: %s answered %d", n, id, a.StatusCode)
		g.Go(func() {
			<-start
			var ids []string
			var text strings.Builder
			for k := range pipelineRequests {
				ids = append(ids, fmt.Sprintf("c%d-r%d", n, k))
				text.WriteString(lookup(ids[k]))
			}
			sent := time.Now()
			if _, err := io.WriteString(c, text.String()); err != nil {
				r.add("conn %d: sending: %v", n, err)
				return
			}
			r.addAt(sent, "conn %d: sends %s in one write", n, strings.Join(ids, ", "))
			for k, id := range ids {
				a, body, err := readAnswer(b)
				if err != nil {
					r.add("conn %d: the connection ends before the answer to %s: %v", n, id, err)
					// After a reset, the process may not have read the request.
					if (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) && time.Since(sent) > lossSlack {
						mu.Lock()
						lost = append(lost, ids[k:]...)
						mu.Unlock()
					}
					return
				}
				r.add("conn %d: %s answered %d, connection %q, body %q", n, id, a.StatusCode, a.Header.Get("Connection"), strings.TrimSpace(body))
				if a.Close {
					r.add("conn %d: the answer to %s closes the connection", n, id)
				}
			}
		})
	}
	if trouble {
		r.add("SIGTERM to %s", v.name)
		v.signal(syscall.SIGTERM)
	}
	time.Sleep(pipelineDelay)
	close(start)
	g.Wait()
	if trouble {
		<-v.exited
		r.add("%s exited with %d", v.name, v.code)
	}
	r.addRuns(is...)
	if len(lost) == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: %d of %d requests, read by the VM, ended without an answer over %s after they were sent: %s",
		len(lost), pipelineConns*pipelineRequests, lossSlack, strings.Join(lost, " "))
}
