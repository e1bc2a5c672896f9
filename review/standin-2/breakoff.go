package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes and times of the case.
const (
	// sheetSize is the length of a download, in bytes, and sheetBreak how much of it an
	// instance sends before it breaks off.
	sheetSize  = 96 << 10
	sheetBreak = 48 << 10
	// sheetSpoiled is which of the answers of three of the six instances breaks off: each
	// 20th, so 0.05 of the answers of a share of 0.5 of the instances.
	sheetSpoiled = 20
	// breakoffClients is the number of clients, each with one open connection at a time.
	breakoffClients = 10
	breakoffLookups = 3
	// The instances break off answers for breakoffTroubleTime, from breakoffBefore after
	// the clients begin; the clients go on for breakoffAfter.
	breakoffBefore      = 2 * time.Second
	breakoffTroubleTime = 5 * time.Second
	breakoffAfter       = time.Second
	// breakoffAllowed is how many requests the rule lets a machine lose.
	breakoffAllowed = 3
)

// get returns the bytes of a GET request.
func get(path, id string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nX-Api-Key: %s\r\n\r\n", path, host, id, key)
}

// newSheets starts an instance of the downloads. While spoils is set, each
// sheetSpoiled-th answer breaks off.
func newSheets(d *deployment, id string, spoils *atomic.Bool) *instance {
	i := newInstance(d.store, id, "sheets", 40*time.Millisecond)
	var answers atomic.Int64
	text := strings.Repeat("formula sheet 0123456789abcdef.\n", sheetSize/32)
	i.answer = func(c net.Conn, q *http.Request) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: signed-by-%s\r\n%sContent-Length: %d\r\n\r\n",
			q.Header.Get("Request-Id"), i.id, i.load(), len(text))
		if err != nil {
			return false
		}
		if spoils.Load() && answers.Add(1)%sheetSpoiled == 0 {
			_, _ = io.WriteString(c, text[:sheetBreak])
			return false
		}
		_, err = io.WriteString(c, text)
		return err == nil
	}
	return i
}

// playBreakoff lets an instance break off some of its answers. Clients send a download and
// lookups behind it on one connection.
func playBreakoff(r *record, trouble bool) string {
	d := newDeployment(2)
	defer d.close()
	d.store.Put("op/config", config(1, []string{"cat", "sheets"}, []rule{
		{"look", "safe", "/look/", "cat", 3 * time.Second, 2},
		{"sheet", "download", "/sheet/", "sheets", 3 * time.Second, 2},
	}))
	var sound []*instance
	for n := range 3 {
		i := newInstance(d.store, fmt.Sprintf("cat-%d", n+1), "cat", 20*time.Millisecond)
		defer i.close()
		sound = append(sound, i)
	}
	var spoiling, sane atomic.Bool
	for n := range 6 {
		spoils := &sane
		if n%2 == 0 {
			spoils = &spoiling
		}
		i := newSheets(d, fmt.Sprintf("sheets-%d", n+1), spoils)
		defer i.close()
	}
	for _, v := range d.vms {
		d.start(v, true)
	}
	for _, v := range d.vms {
		v.awaitReady()
	}
	time.Sleep(stableWindow + time.Second)
	var g sync.WaitGroup
	var mu sync.Mutex
	unanswered := map[string]bool{}
	answered := 0
	end := time.Now().Add(breakoffBefore + breakoffTroubleTime + breakoffAfter)
	g.Go(func() {
		time.Sleep(breakoffBefore)
		if trouble {
			r.add("three of the six instances begin to break off 0.05 of their answers")
			spoiling.Store(true)
		}
		time.Sleep(breakoffTroubleTime)
		spoiling.Store(false)
	})
	for n := range breakoffClients {
		g.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				un, ok := d.playConn(r, fmt.Sprintf("c%d-%d", n, k), end)
				mu.Lock()
				answered += ok
				for _, id := range un {
					unanswered[id] = true
				}
				mu.Unlock()
			}
		})
	}
	g.Wait()
	r.add("%d requests answered", answered)
	var lost []string
	for _, i := range sound {
		for _, x := range i.executions() {
			if unanswered[x.id] {
				r.addAt(x.at, "%s runs %s and has answered it after %s; the client has no answer", i.id, x.id, x.end.Sub(x.at).Round(time.Millisecond))
				lost = append(lost, x.id)
			}
		}
	}
	if len(lost) <= breakoffAllowed {
		return ""
	}
	return fmt.Sprintf("LOST: %d requests of kept connections were passed on to sound instances, and the VM closed the connections without an answer: %s",
		len(lost), strings.Join(lost, " "))
}

// playConn opens a connection and sends a download and lookups behind it, again and again
// until the connection ends. It returns the lookups without an answer and the number of
// answers.
func (d *deployment) playConn(r *record, name string, end time.Time) (unanswered []string, answered int) {
	c, err := net.Dial("tcp", d.vms[0].frontend)
	check(err)
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	for k := 0; time.Now().Before(end); k++ {
		ids := []string{fmt.Sprintf("%s-%d-sheet", name, k)}
		text := get("/sheet/x", ids[0])
		for n := range breakoffLookups {
			ids = append(ids, fmt.Sprintf("%s-%d-look%d", name, k, n))
			text += get("/look/x", ids[n+1])
		}
		_, err := io.WriteString(c, text)
		check(err)
		for n, id := range ids {
			a, _, err := readAnswer(b)
			if err == nil {
				answered++
				if a.Close {
					return unanswered, answered
				}
				continue
			}
			r.add("the connection ends in or before the answer to %s: %v; behind it are %s", id, err, strings.Join(ids[n+1:], " "))
			return append(unanswered, ids[max(1, n):]...), answered
		}
		time.Sleep(50 * time.Millisecond)
	}
	return unanswered, answered
}
