package backend

import (
	"errors"
	"net/http"
	"net/textproto"
)

// errInvalidInformational means that an informational answer (1xx) announces a body,
// which it cannot have.
var errInvalidInformational = errors.New("backend: an informational answer announces a body")

// isValidFinal reports whether a is a final answer of HTTP/1. net/http accepts any three
// digits as a status, and ignores a body that the status does not allow (RFC 9110,
// sections 6.4.1 and 15).
func isValidFinal(a *http.Response) bool {
	if a.ProtoMajor != 1 || a.StatusCode < http.StatusOK || a.StatusCode > 599 {
		return false
	}
	return a.StatusCode != http.StatusNoContent || !announcesBody(a.Header) && len(a.TransferEncoding) == 0
}

// checkInformational returns an error if an informational answer cannot be one.
// What follows its head may be the body of a final answer.
func checkInformational(h textproto.MIMEHeader) error {
	if announcesBody(http.Header(h)) {
		return errInvalidInformational
	}
	return nil
}

// announcesBody reports whether a header says that a body follows.
func announcesBody(h http.Header) bool {
	n := h.Get("Content-Length")
	return n != "" && n != "0" || h.Get("Transfer-Encoding") != ""
}
