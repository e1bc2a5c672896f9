package pool

import "net/http"

// IsValidFinal reports whether a is a final answer of HTTP/1. net/http accepts any three
// digits as a status, and ignores a body that the status does not allow (RFC 9110,
// sections 6.4.1 and 15).
func IsValidFinal(a *http.Response) bool {
	if a.ProtoMajor != 1 || a.StatusCode < http.StatusOK || a.StatusCode > 599 {
		return false
	}
	return a.StatusCode != http.StatusNoContent || !announcesBody(a.Header) && len(a.TransferEncoding) == 0
}

// announcesBody reports whether a header says that a body follows.
func announcesBody(h http.Header) bool {
	n := h.Get("Content-Length")
	return n != "" && n != "0"
}
