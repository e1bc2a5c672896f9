// Package platform reads configuration values and the VM list from the platform.
// Reader does so on a platform with a VM list, Watcher on one without.
package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"lentilbend.example/internal/head"
	"lentilbend.example/internal/platformpb"
)

// maxAnswerBytes is the number of bytes after which an answer's body is cut off.
const maxAnswerBytes = 64 << 20

// dialTimeout bounds the opening of a connection.
const dialTimeout = 30 * time.Second

// httpClient is shared by all Clients.
var httpClient = http.Client{Transport: newTransport()}

// newTransport returns http.DefaultTransport with a check of the answers' heads.
func newTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = head.DialContext(&net.Dialer{Timeout: dialTimeout})
	return t
}

// Client reads from the platform's HTTP service. Set the exported fields before
// use.
type Client struct {
	// Addresses are the platform's addresses. Reads go to one of them; after a
	// failed read, later reads go to the next.
	Addresses []netip.AddrPort
	// Timeout bounds a read, in addition to the time that the platform may wait
	// for changes.
	Timeout time.Duration

	addressIndex atomic.Uint32
	reads        atomic.Uint64
}

// Reads returns the number of reads sent.
func (c *Client) Reads() uint64 {
	return c.reads.Load()
}

// Values reads the values changed after a revision (long polling): while there
// are none, the platform delays its answer for up to wait.
func (c *Client) Values(ctx context.Context, after uint64, wait time.Duration) (*platformpb.ValuesAnswer, error) {
	q := url.Values{}
	q.Set("after", strconv.FormatUint(after, 10))
	q.Set("wait", wait.String())
	a := &platformpb.ValuesAnswer{}
	if err := c.read(ctx, "/v1/values?"+q.Encode(), wait, a); err != nil {
		return nil, err
	}
	// This platform counts no eras: its revisions never go back for good.
	a.Era = 0
	return a, nil
}

// VMs reads the VM list.
func (c *Client) VMs(ctx context.Context) (*platformpb.VmsAnswer, error) {
	a := &platformpb.VmsAnswer{}
	if err := c.read(ctx, "/v1/vms", 0, a); err != nil {
		return nil, err
	}
	return a, nil
}

func (c *Client) read(ctx context.Context, path string, wait time.Duration, out proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, wait+c.Timeout)
	defer cancel()
	n := int(c.addressIndex.Load()) % len(c.Addresses)
	err := c.get(ctx, "http://"+c.Addresses[n].String()+path, out)
	if err != nil {
		c.addressIndex.Add(1)
		return fmt.Errorf("platform: read %s: %w", path, err)
	}
	return nil
}

// errInformational means that an informational answer (1xx) announces a body.
var errInformational = errors.New("informational answer with a length")

// checkInformational ends a read whose informational answer is a final one with a wrong
// status, which has a length. Otherwise the read would wait for a final answer until its
// timeout.
func checkInformational(_ int, h textproto.MIMEHeader) error {
	if h.Get("Content-Length") != "" {
		return errInformational
	}
	return nil
}

func (c *Client) get(ctx context.Context, u string, out proto.Message) error {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: checkInformational})
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return err
	}
	c.reads.Add(1)
	a, err := httpClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", a.StatusCode)
	}
	o := protojson.UnmarshalOptions{DiscardUnknown: true}
	return o.Unmarshal(b, out)
}
