package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Error is a violation of the protocol. The request is refused with Status and
// nothing behind it is read.
type Error struct {
	// Status is the HTTP status of the refusal.
	Status int
	// Reason is a short text for people. It contains nothing from the request.
	Reason string
}

// Error returns the reason.
func (e *Error) Error() string {
	return "http1: " + e.Reason
}

func badRequest(reason string) error {
	return &Error{Status: http.StatusBadRequest, Reason: reason}
}

var errHeadTooLarge = &Error{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "The request's header is too large."}

// framing says where a request's body ends.
type framing struct {
	// length is the length of the body in bytes; -1 for a chunked body.
	length int64
	// hasHost is set if the head has a Host field.
	hasHost bool
	// http10 is set for HTTP/1.0.
	http10 bool
}

var crlf = []byte("\r\n")

// readHead reads a request line and a header up to the empty line that ends them
// and appends them, each line with its end, to b. An empty line before the request
// line is skipped (RFC 9112, section 2.2).
func readHead(r *bufio.Reader, b []byte, limit int) ([]byte, error) {
	skipped := false
	for {
		start := len(b)
		var err error
		if b, err = appendLine(r, b, limit); err != nil {
			return b, err
		}
		switch {
		case len(b)-start > len(crlf):
		case start > 0:
			return b, nil
		case skipped:
			return b, badRequest("The request line is missing.")
		default:
			skipped, b = true, b[:0]
		}
	}
}

// appendLine appends a line that ends with CRLF to b. The error is of type *Error
// if b would be longer than limit or the line ends with a bare line feed, which
// another proxy may not take as the end of a line.
func appendLine(r *bufio.Reader, b []byte, limit int) ([]byte, error) {
	start := len(b)
	for {
		part, err := r.ReadSlice('\n')
		if len(b)+len(part) > limit {
			return b, errHeadTooLarge
		}
		b = append(b, part...)
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return b, err
		}
	}
	if !bytes.HasSuffix(b[start:], crlf) {
		return b, badRequest("A line ends without a carriage return.")
	}
	return b, nil
}

// checkHead checks a head that readHead has read and returns the framing of its
// body. It refuses what another proxy could understand in another way (RFC 9112,
// sections 2.2, 3, 5 and 6.3).
func checkHead(head []byte) (framing, error) {
	line, rest, _ := bytes.Cut(head, crlf)
	f, err := checkRequestLine(line)
	if err != nil {
		return f, err
	}
	lengths, codings, hosts := 0, 0, 0
	for {
		line, rest, _ = bytes.Cut(rest, crlf)
		if len(line) == 0 {
			break
		}
		name, value, err := splitField(line)
		if err != nil {
			return f, err
		}
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
			if f.length, err = parseLength(value); err != nil {
				return f, err
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			codings++
			if !bytes.EqualFold(value, []byte("chunked")) {
				return f, &Error{Status: http.StatusNotImplemented, Reason: "The transfer coding is not supported."}
			}
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
			if !httpguts.ValidHostHeader(string(value)) {
				return f, badRequest("The Host field is malformed.")
			}
		}
	}
	if lengths > 1 || codings > 1 || lengths > 0 && codings > 0 || codings > 0 && f.http10 {
		return f, badRequest("The framing of the request is ambiguous.")
	}
	if hosts > 1 || hosts == 0 && !f.http10 {
		return f, badRequest("The request must have one Host field.")
	}
	f.hasHost = hosts == 1
	if codings > 0 {
		f.length = -1
	}
	return f, nil
}

// checkRequestLine checks a request line and returns the version in the framing.
func checkRequestLine(line []byte) (framing, error) {
	f := framing{}
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, ok := bytes.Cut(rest, []byte(" "))
	if !ok || !isToken(method) || len(target) == 0 {
		return f, badRequest("The request line is malformed.")
	}
	for _, c := range target {
		if c <= ' ' || c == 0x7f {
			return f, badRequest("The request target is malformed.")
		}
	}
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		f.http10 = true
	default:
		if !bytes.HasPrefix(version, []byte("HTTP/")) || bytes.IndexByte(version, ' ') >= 0 {
			return f, badRequest("The request line is malformed.")
		}
		return f, &Error{Status: http.StatusHTTPVersionNotSupported, Reason: "The version of HTTP is not supported."}
	}
	return f, nil
}

// splitField splits a line of a header or trailer into name and value.
func splitField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return nil, nil, badRequest("A header field is malformed.")
	}
	value = bytes.Trim(value, " \t")
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return nil, nil, badRequest("The value of a header field is malformed.")
		}
	}
	return name, value, nil
}

// isToken reports whether b is a token (RFC 9110, section 5.6.2).
func isToken(b []byte) bool {
	for _, c := range b {
		if !httpguts.IsTokenRune(rune(c)) {
			return false
		}
	}
	return len(b) > 0
}

// parseLength parses the value of a Content-Length field.
func parseLength(v []byte) (int64, error) {
	for _, c := range v {
		if c < '0' || c > '9' {
			return 0, badRequest("The framing of the request is ambiguous.")
		}
	}
	n, err := strconv.ParseInt(string(v), 10, 64)
	if err != nil {
		return 0, badRequest("The length of the body is malformed.")
	}
	return n, nil
}

// parseRequest parses a head that checkHead has accepted. Its body is left to the
// caller.
func parseRequest(b *bufio.Reader, f framing) (*http.Request, error) {
	r, err := http.ReadRequest(b)
	if err != nil {
		return nil, badRequest("The request is malformed.")
	}
	if r.Header.Get("Expect") != "" && !expectsContinue(r) {
		return nil, &Error{Status: http.StatusExpectationFailed, Reason: "The expectation is not supported."}
	}
	r.Body = http.NoBody
	r.ContentLength = f.length
	return r, nil
}

// expectsContinue reports whether the caller waits for 100 Continue before it sends
// the body.
func expectsContinue(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue") && r.ProtoAtLeast(1, 1)
}

// wrapReadError returns an error of reading a body as an io error.
func wrapReadError(err error) error {
	return fmt.Errorf("http1: body: %w", err)
}
