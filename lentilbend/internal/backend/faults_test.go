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

// runLog counts how often each request was run by a server.
type runLog struct {
	mu   sync.Mutex
	runs map[string]int
	// notRun holds the requests that were refused as not run.
	notRun []string
	rand   *rand.Rand
}

func (l *runLog) addNotRun(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notRun = append(l.notRun, path)
}

// randomInt returns a random number below n.
func (l *runLog) randomInt(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.IntN(n)
}

func (l *runLog) addRun(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[path]++
}

func (l *runLog) count(path string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[path]
}

// answerWithFault is a server's answer function with random faults. It sheds the
// request, or runs it and sends its answer whole, truncated, late or not at all;
// it may close the connection after a whole answer.
func (l *runLog) answerWithFault(c net.Conn, _ int, r *http.Request, body string) bool {
	text := r.URL.Path + body
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	switch l.randomInt(12) {
	case 0:
		return respond("HTTP/1.1 503 Busy\r\nServer-Run: not-run\r\nContent-Length: 0\r\n\r\n")(c, 0, r, body)
	case 1:
		l.addRun(r.URL.Path)
		return false
	case 2:
		l.addRun(r.URL.Path)
		_, _ = io.WriteString(c, whole[:len(whole)-1])
		return false
	case 3:
		l.addRun(r.URL.Path)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
		return false
	case 4:
		l.addRun(r.URL.Path)
		_, _ = io.WriteString(c, whole)
		return false
	case 5:
		l.addRun(r.URL.Path)
		time.Sleep(30 * time.Millisecond)
	default:
		l.addRun(r.URL.Path)
	}
	_, err := io.WriteString(c, whole)
	return err == nil
}

// sendOne sends one request, checks that it gets its own answer, and records
// its path if it was refused as not run.
func (l *runLog) sendOne(e *entry, path, body string) error {
	a, err := e.send("POST", path, body, exchange.TimeoutHeader, []string{"20ms", "5s"}[l.randomInt(2)])
	if err != nil {
		return fmt.Errorf("%s: no answer: %w", path, err)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err == nil && a.StatusCode == 200 && string(b) != path+body {
		return fmt.Errorf("%s: got a wrong answer of %d bytes", path, len(b))
	}
	if a.Header.Get(exchange.RunHeader) == string(exchange.NotRun) {
		l.addNotRun(path)
	}
	return nil
}

var _ = DescribeTable("under random faults, runs no request that it reports as not run, and no non-idempotent request twice", func(seed uint64) {
	l := &runLog{runs: map[string]int{}, rand: rand.New(rand.NewPCG(seed, 1))}
	e := newEntry(closedPort(), newServer(l.answerWithFault).address(), newServer(l.answerWithFault).address(), newServer(l.answerWithFault).address())
	var group sync.WaitGroup
	errs := make(chan error, 1000)
	for i := range 10 {
		group.Go(func() {
			for j := range 50 {
				p := fmt.Sprintf("/%s/%d-%d", []string{"sale", "read"}[j%2], i, j)
				if err := l.sendOne(e, p, strings.Repeat("z", j*j*20)); err != nil {
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
	for _, p := range l.notRun {
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
