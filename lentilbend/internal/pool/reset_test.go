package pool

import (
	"io"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// partOfAnswer begins an answer that ends with its connection.
const partOfAnswer = "HTTP/1.1 200 OK\r\n\r\nbody"

// Guards against an answer that ends with its connection and is taken as complete although
// the server reset the connection.
var _ = Describe("a connection that ends while a request is written", func() {
	// open returns both ends of a connection, of which the first one has a request.
	open := func() (*trackedConn, *net.TCPConn) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		n, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = n.Close() })
		p, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = p.Close() })
		t, err := newTrackedConn(n, time.Now)
		Expect(err).NotTo(HaveOccurred())
		t.beginRequest(RequestInfo{Deadline: time.Now().Add(time.Minute)})
		_, err = t.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		return t, p.(*net.TCPConn)
	}

	// writeUntilError writes until an error, which it returns.
	writeUntilError := func(t *trackedConn) error {
		var err error
		for err == nil {
			_, err = t.Write(make([]byte, 64<<10))
		}
		return err
	}

	read := func(t *trackedConn) (string, error) {
		Expect(t.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		b, err := io.ReadAll(t)
		return string(b), err
	}

	It("has no orderly end after a reset that a write reported", func() {
		t, p := open()
		Expect(p.SetLinger(0)).To(Succeed())
		Expect(p.Close()).To(Succeed())
		Expect(writeUntilError(t)).To(MatchError(syscall.ECONNRESET))
		_, err := read(t)
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})

	It("has no orderly end after a reset, whether a write or a read reports it", func() {
		for range 300 {
			t, p := open()
			written := make(chan error, 1)
			go func() { written <- writeUntilError(t) }()
			go func() {
				_, _ = io.WriteString(p, partOfAnswer)
				time.Sleep(time.Millisecond)
				_ = p.SetLinger(0)
				_ = p.Close()
			}()
			b, err := read(t)
			Expect(b).To(Equal(partOfAnswer))
			Expect(err).To(MatchError(syscall.ECONNRESET))
			Eventually(written, "5s").Should(Receive(HaveOccurred()))
		}
	})

	It("has an orderly end if the server half-closes it and goes on reading", func() {
		t, p := open()
		done := make(chan struct{})
		go func() { defer close(done); _, _ = io.Copy(io.Discard, p) }()
		go func() { _ = writeUntilError(t) }()
		_, err := io.WriteString(p, partOfAnswer)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.CloseWrite()).To(Succeed())
		Expect(read(t)).To(Equal(partOfAnswer))
		Expect(t.Close()).To(Succeed())
		Eventually(done, "5s").Should(BeClosed())
	})

	It("has an orderly end at once if the server half-closes it and reads nothing more", func() {
		t, p := open()
		go func() { _ = writeUntilError(t) }()
		time.Sleep(50 * time.Millisecond)
		_, err := io.WriteString(p, partOfAnswer)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.CloseWrite()).To(Succeed())
		Expect(read(t)).To(Equal(partOfAnswer))
	})

	It("has an orderly end if the reset comes after it", func() {
		t, p := open()
		Expect(t.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		b := make([]byte, 1)
		_, err := io.ReadFull(p, b)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(p, partOfAnswer)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Close()).To(Succeed())
		Expect(writeUntilError(t)).To(MatchError(syscall.EPIPE))
		Expect(read(t)).To(Equal(partOfAnswer))
	})
})
