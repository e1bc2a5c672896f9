package backend_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/lentilbend/internal/exchange"
)

// ledger counts how often each request was run.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
	// denied holds the requests that were refused as not run.
	denied []string
	rand   *rand.Rand
}

func (l *ledger) deny(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.denied = append(l.denied, path)
}

func (l *ledger) draw(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.IntN(n)
}

func (l *ledger) run(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[path]++
}

func (l *ledger) count(path string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[path]
}

// faulty runs requests and fails in one of the ways that servers do.
func (l *ledger) faulty(c net.Conn, _ int, r *http.Request, body string) bool {
	text := r.URL.Path + body
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	switch l.draw(12) {
	case 0:
		return says("HTTP/1.1 503 Busy\r\nServer-Run: not-run\r\nContent-Length: 0\r\n\r\n")(c, 0, r, body)
	case 1:
		l.run(r.URL.Path)
		return false
	case 2:
		l.run(r.URL.Path)
		_, _ = io.WriteString(c, whole[:len(whole)-1])
		return false
	case 3:
		l.run(r.URL.Path)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
		return false
	case 4:
		l.run(r.URL.Path)
		_, _ = io.WriteString(c, whole)
		return false
	case 5:
		l.run(r.URL.Path)
		time.Sleep(30 * time.Millisecond)
	default:
		l.run(r.URL.Path)
	}
	_, err := io.WriteString(c, whole)
	return err == nil
}

// check sends one request and compares its end with the ledger.
func (l *ledger) check(e *entry, path, body string) error {
	a, err := e.try("POST", path, body, exchange.TimeoutHeader, []string{"20ms", "5s"}[l.draw(2)])
	if err != nil {
		return fmt.Errorf("%s: no answer: %w", path, err)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err == nil && a.StatusCode == 200 && string(b) != path+body {
		return fmt.Errorf("%s: got %d bytes of another answer", path, len(b))
	}
	if a.Header.Get(exchange.RunHeader) == string(exchange.NotRun) {
		l.deny(path)
	}
	return nil
}

var _ = DescribeTable("random faults", func(seed uint64) {
	l := &ledger{runs: map[string]int{}, rand: rand.New(rand.NewPCG(seed, 1))}
	e := newEntry(deadServer(), newServer(l.faulty).address(), newServer(l.faulty).address(), newServer(l.faulty).address())
	var group sync.WaitGroup
	errs := make(chan error, 1000)
	for i := range 10 {
		group.Go(func() {
			for j := range 50 {
				p := fmt.Sprintf("/%s/%d-%d", []string{"sale", "read"}[j%2], i, j)
				if err := l.check(e, p, strings.Repeat("z", j*j*20)); err != nil {
					errs <- err
				}
			}
		})
	}
	group.Wait()
	close(errs)
	for err := range errs {
		Expect(err).NotTo(HaveOccurred())
	}
	for _, p := range l.denied {
		Expect(l.count(p)).To(BeZero(), p)
	}
	for p, n := range l.runs {
		if strings.HasPrefix(p, "/sale/") {
			Expect(n).To(Equal(1), p)
		}
	}
},
	Entry("seed 1", uint64(1)),
	Entry("seed 2", uint64(2)),
	Entry("seed 3", uint64(3)),
)
