package head_test

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/net/http/httpguts"

	"lentilbend.example/internal/head"
)

// maxSize is the largest size of a head, in which each line counts 32 bytes more.
const maxSize = 256 << 10

// valid are streams that begin with a valid head.
var valid = []string{
	"HTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.0 200\r\nA:\r\n\r\n\x00 body: \r\r\n\n",
	"HTTP/1.1 200 \r\nA: b\r\na-B_c: \t\xfc d\te \r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
	"HTTP/1.1 101 Switching Protocols\r\n\r\n\x01\x02",
}

// malformed are streams in whose head the last byte, and no byte before it, is wrong.
var malformed = []string{
	"h", "\r", "HTTP/2", "HTTP/1.1  ", "HTTP/1.1 -", "HTTP/1.1 20 ", "HTTP/1.1 2000", "HTTP/1.1 200\n", "HTTP/1.1 200\t",
	"HTTP/1.1 200 OK\n", "HTTP/1.1 200 O\x00", "HTTP/1.1 200 OK\rX",
	"HTTP/1.1 200 OK\r\n ", "HTTP/1.1 200 OK\r\n\t", "HTTP/1.1 200 OK\r\n:", "HTTP/1.1 200 OK\r\n\n", "HTTP/1.1 200 OK\r\n\rA",
	"HTTP/1.1 200 OK\r\nA ", "HTTP/1.1 200 OK\r\nA\r", "HTTP/1.1 200 OK\r\nA\n", "HTTP/1.1 200 OK\r\nA\x7f", "HTTP/1.1 200 OK\r\nA\xfc", "HTTP/1.1 200 OK\r\nA(",
	"HTTP/1.1 200 OK\r\nA: b\n", "HTTP/1.1 200 OK\r\nA: \x00", "HTTP/1.1 200 OK\r\nA: b\x7f", "HTTP/1.1 200 OK\r\nA: b\r ", "HTTP/1.1 200 OK\r\nA: b\r\n ",
	"HTTP/1.1 103 Early Hints\r\n\r\n\r", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nA ",
}

var _ = Describe("Scanner", func() {
	It("accepts valid heads and any body, however they are cut", func() {
		for _, v := range valid {
			var whole, cut head.Scanner
			Expect(whole.Scan([]byte(v))).To(Succeed(), "%q", v)
			for i := range len(v) {
				Expect(cut.Scan([]byte(v[i:i+1]))).To(Succeed(), "%q", v[:i+1])
			}
		}
	})

	It("rejects a malformed head at its first wrong byte", func() {
		for _, m := range malformed {
			var whole, cut head.Scanner
			Expect(whole.Scan([]byte(m))).NotTo(Succeed(), "%q", m)
			last := len(m) - 1
			Expect(cut.Scan([]byte(m[:last]))).To(Succeed(), "%q", m)
			Expect(cut.Scan([]byte(m[last:]))).NotTo(Succeed(), "%q", m)
		}
	})
})

var _ = DescribeTable("Scanner bounds a head", func(informational, fields string, accepts bool) {
	var s head.Scanner
	err := s.Scan([]byte(informational + "HTTP/1.1 200 OK\r\n" + fields + "\r\n"))
	if accepts {
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Scan(make([]byte, 2*maxSize))).To(Succeed())
	} else {
		Expect(err).To(HaveOccurred())
	}
},
	Entry("by its bytes", "", "X: "+strings.Repeat("x", maxSize)+"\r\n", false),
	Entry("below its bytes", "", "X: "+strings.Repeat("x", maxSize-100)+"\r\n", true),
	Entry("by its fields", "", strings.Repeat("X:\r\n", maxSize/36), false),
	Entry("below its fields", "", strings.Repeat("X:\r\n", maxSize/36-2), true),
	Entry("apart from the one before", "HTTP/1.1 103 Early Hints\r\nX: "+strings.Repeat("x", maxSize/2)+"\r\n\r\n", "X: "+strings.Repeat("x", maxSize-100)+"\r\n", true),
)

// framing are the fields that net/http removes from a header or merges.
var framing = []string{"Content-Length", "Transfer-Encoding", "Trailer"}

// FuzzAgainstNetHTTP checks that net/http reads the fields of an accepted head as its lines
// have them.
func FuzzAgainstNetHTTP(f *testing.F) {
	for _, s := range append(valid, malformed...) {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		var s head.Scanner
		text, _, whole := strings.Cut(string(stream), "\r\n\r\n")
		if !whole || s.Scan(stream) != nil {
			return
		}
		a, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(stream)), nil)
		if err != nil {
			return
		}
		for n := range a.Header {
			if !httpguts.ValidHeaderFieldName(n) {
				t.Errorf("name %q", n)
			}
		}
		for _, line := range strings.Split(text, "\r\n")[1:] {
			name, value, _ := strings.Cut(line, ":")
			name, value = http.CanonicalHeaderKey(name), strings.Trim(value, " \t")
			if !slices.Contains(framing, name) && !slices.Contains(a.Header[name], value) {
				t.Errorf("%q: %q not in %q", name, value, a.Header[name])
			}
		}
	})
}
