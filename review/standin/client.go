package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// part is a part of a request that is sent after a pause.
type part struct {
	pause time.Duration
	text  string
}

// answer is what a client got. raw is set if it is not an answer in the protocol.
type answer struct {
	status    int
	header    textproto.MIMEHeader
	body      string
	raw       string
	err       error
	duration  time.Duration
	signature string
}

// statusLine matches the first line of an answer (RFC 9112, section 4). Status codes
// are 100 to 599 (RFC 9110, section 15).
var statusLine = regexp.MustCompile(`^HTTP/1\.[01] ([1-5][0-9][0-9]) .*$`)

// clientPatience is how much longer than its deadline a client reads.
const clientPatience = 500 * time.Millisecond

// send sends a request on a new connection and reads the answer.
func send(address string, deadline time.Duration, parts ...part) answer {
	start := time.Now()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(start.Add(deadline + clientPatience))
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for _, p := range parts {
			time.Sleep(p.pause)
			if _, err := io.WriteString(c, p.text); err != nil {
				return
			}
		}
	}()
	a := readAnswer(bufio.NewReader(c))
	a.duration = time.Since(start)
	return a
}

// readAnswer reads an answer strictly.
func readAnswer(r *bufio.Reader) answer {
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return answer{err: fmt.Errorf("no answer: %w", err), raw: line}
		}
		m := statusLine.FindStringSubmatch(strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"))
		if m == nil {
			rest := make([]byte, 1000)
			n, _ := io.ReadAtLeast(r, rest, 250)
			return answer{raw: line + string(rest[:n])}
		}
		a := answer{}
		a.status, _ = strconv.Atoi(m[1])
		if a.header, err = textproto.NewReader(r).ReadMIMEHeader(); err != nil {
			return answer{err: err, raw: line}
		}
		if a.status < http.StatusOK {
			continue
		}
		a.signature = a.header.Get("Server-Signature")
		n, err := strconv.Atoi(a.header.Get("Content-Length"))
		if err != nil {
			a.err = fmt.Errorf("answer without a length")
			return a
		}
		b := make([]byte, n)
		if _, err = io.ReadFull(r, b); err != nil {
			a.err = fmt.Errorf("the answer ended early: %w", err)
		}
		a.body = string(b)
		return a
	}
}
