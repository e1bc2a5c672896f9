package relay

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"lentilbend.example/internal/peerpb"
	"lentilbend.example/internal/platformpb"

	"lentilbend.example/lentilbend/internal/store"
)

// Limits for packed values, which are compressed with gzip.
const (
	// minPackSize is the size in bytes from which values are packed; smaller ones
	// fit into a few TCP segments anyway.
	minPackSize = 4 << 10
	// maxUnpackedSize is the maximum size of unpacked values, in bytes. It equals
	// the maximum size of a message between VMs, so that a small packed message
	// cannot expand to more than an unpacked one could hold.
	maxUnpackedSize = 64 << 20
	// maxCachedAnswers limits the packed answers kept for a version. Few are needed,
	// since the VMs that pull a version have one of only a few earlier revisions.
	maxCachedAnswers = 16
)

var errUnpackedTooLarge = errors.New("relay: unpacked values exceed the maximum message size")

// packer compresses the values of a version and caches the result for further
// pulls.
type packer struct {
	mu      sync.Mutex
	version store.Version
	// cache holds the packed values that changed after a revision, by that
	// revision. An entry is nil if the values are too small to be packed.
	cache map[uint64][]byte
}

// pack compresses vs, the values of version v that changed after revision since.
// It returns nil if they are smaller than minPackSize.
func (p *packer) pack(v store.Version, since uint64, vs []*platformpb.Value) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version != v || p.cache == nil || len(p.cache) >= maxCachedAnswers {
		p.version, p.cache = v, map[uint64][]byte{}
	}
	if b, ok := p.cache[since]; ok {
		return b, nil
	}
	b, err := compressValues(vs)
	if err != nil {
		return nil, err
	}
	p.cache[since] = b
	return b, nil
}

func compressValues(vs []*platformpb.Value) ([]byte, error) {
	m, err := proto.Marshal(&peerpb.PackedValues{Values: vs})
	if err != nil {
		return nil, fmt.Errorf("relay: pack: %w", err)
	}
	if len(m) < minPackSize {
		return nil, nil
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("relay: pack: %w", err)
	}
	if _, err := w.Write(m); err != nil {
		return nil, fmt.Errorf("relay: pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("relay: pack: %w", err)
	}
	return b.Bytes(), nil
}

// unpackValues returns the values of an answer, which may be packed.
func unpackValues(a *peerpb.PullAnswer) ([]*platformpb.Value, error) {
	if len(a.GetPacked()) == 0 {
		return a.GetValues(), nil
	}
	r, err := gzip.NewReader(bytes.NewReader(a.GetPacked()))
	if err != nil {
		return nil, fmt.Errorf("relay: unpack: %w", err)
	}
	b, err := io.ReadAll(io.LimitReader(r, maxUnpackedSize+1))
	if err != nil {
		return nil, fmt.Errorf("relay: unpack: %w", err)
	}
	if len(b) > maxUnpackedSize {
		return nil, errUnpackedTooLarge
	}
	var m peerpb.PackedValues
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("relay: unpack: %w", err)
	}
	return m.GetValues(), nil
}
