package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// pathRequest is a request whose path is sent as it stands here.
type pathRequest struct{ method, plain, encoded string }

// pathRequests have characters that browsers and command-line clients leave as they are in
// a path. In encoded, these are percent-encoded.
var pathRequests = []pathRequest{
	{"GET", "/look/oil|rose", "/look/oil%7Crose"},
	{"GET", "/look/item%2F7|oil", "/look/item%2F7%7Coil"},
	{"POST", "/buy/oil|rose", "/buy/oil%7Crose"},
	{"DELETE", "/buy/shelf%2F7|oil", "/buy/shelf%2F7%7Coil"},
	{"DELETE", "/buy/shelf%2F7^oil", "/buy/shelf%2F7%5Eoil"},
	{"GET", "/look/zasłonka", "/look/zas%C5%82onka"},
}

// send sends a request without a body on a connection of its own and returns the status
// and the body of the answer.
func send(address, method, path, id string) (int, string) {
	c, err := net.Dial("tcp", address)
	check(err)
	defer func() { _ = c.Close() }()
	check(c.SetDeadline(time.Now().Add(5 * time.Second)))
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nX-Api-Key: %s\r\n\r\n", method, path, host, id, key)
	check(err)
	a, body, err := readAnswer(bufio.NewReader(c))
	check(err)
	return a.StatusCode, body
}

// playPath sends requests and compares the paths that the instances run with those that
// were sent.
func playPath(r *record, trouble bool) string {
	d := newDeployment(2)
	defer d.close()
	d.store.Put("op/config", config(1, []string{"cat"}, []rule{
		{"look", "safe", "/look/", "cat", 3 * time.Second, 2},
		{"buy", "unsafe", "/buy/", "cat", 3 * time.Second, 2},
	}))
	is := []*instance{newInstance(d.store, "i-1", "cat", 20*time.Millisecond), newInstance(d.store, "i-2", "cat", 20*time.Millisecond)}
	for _, i := range is {
		defer i.close()
	}
	for _, v := range d.vms {
		d.start(v, true)
	}
	for _, v := range d.vms {
		v.awaitReady()
	}
	time.Sleep(stableWindow + time.Second)
	sent := map[string]string{}
	for n, q := range pathRequests {
		p := q.encoded
		if trouble {
			p = q.plain
		}
		id := fmt.Sprintf("p%d", n)
		sent[id] = q.method + " " + p
		r.add("sends %s, id %s", sent[id], id)
		code, body := send(d.vms[n%2].frontend, q.method, p, id)
		r.add("%s answered %d, body %q", id, code, strings.TrimSpace(body))
	}
	r.addRuns(is...)
	var changed []string
	for _, i := range is {
		for _, x := range i.executions() {
			if got := x.method + " " + x.path; got != sent[x.id] {
				changed = append(changed, fmt.Sprintf("%s was sent as %q and run as %q", x.id, sent[x.id], got))
			}
		}
	}
	if len(changed) == 0 {
		return ""
	}
	return "UNASKED: " + strings.Join(changed, "; ")
}
