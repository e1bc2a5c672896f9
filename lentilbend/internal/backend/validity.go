package backend

import (
	"errors"
	"net/http"
	"net/textproto"
)

// errInvalidInformational means that an informational answer (1xx) has fields of a final
// one.
var errInvalidInformational = errors.New("backend: an informational answer has fields of a final one")

// checkInformational returns an error if an informational answer is a final one with a
// wrong status: it has a length, a coding or the signature of the server. What follows
// its head may be a body.
func checkInformational(h textproto.MIMEHeader, signature string) error {
	if h.Get("Content-Length") != "" || h.Get("Transfer-Encoding") != "" || signature != "" && h.Get(signature) != "" {
		return errInvalidInformational
	}
	return nil
}

// hasEarlyHints reports whether an informational answer has early hints (RFC 8297), which
// are links. Any other may be a final answer with a wrong status: net/http removes the
// field Transfer-Encoding, so that a final answer with a chunked body cannot be told from
// an informational one.
func hasEarlyHints(status int, h textproto.MIMEHeader) bool {
	return status == http.StatusEarlyHints && h.Get("Link") != ""
}
