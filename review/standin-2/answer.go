package main

import (
	"bufio"
	"io"
	"net/http"
)

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
