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

// Bounds of packed values, in bytes.
const (
	// packFrom is the size from which values are packed; smaller ones fit into a
	// few segments anyway.
	packFrom = 4 << 10
	// unpackedMost is the bound of a message between VMs, so that a few bytes do
	// not unpack to more than could be sent.
	unpackedMost = 64 << 20
	// packedMost is how many answers are kept; askers of one version differ in
	// the few versions before it that they have.
	packedMost = 16
)

var errUnpacked = errors.New("relay: packed values are too large")

// packer compresses the values of a version once for all who ask.
type packer struct {
	mu      sync.Mutex
	version store.Version
	// packed are the answers by the revision since which they were asked for;
	// nil where the values are small.
	packed map[uint64][]byte
}

// pack returns the values of a version that changed after since, compressed; nil
// when they are small.
func (p *packer) pack(v store.Version, since uint64, vs []*platformpb.Value) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version != v || p.packed == nil || len(p.packed) >= packedMost {
		p.version, p.packed = v, map[uint64][]byte{}
	}
	if b, ok := p.packed[since]; ok {
		return b, nil
	}
	b, err := compress(vs)
	if err != nil {
		return nil, err
	}
	p.packed[since] = b
	return b, nil
}

func compress(vs []*platformpb.Value) ([]byte, error) {
	m, err := proto.Marshal(&peerpb.PackedValues{Values: vs})
	if err != nil {
		return nil, fmt.Errorf("relay: pack: %w", err)
	}
	if len(m) < packFrom {
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

// values returns the values of an answer, packed or not.
func values(a *peerpb.PullAnswer) ([]*platformpb.Value, error) {
	if len(a.GetPacked()) == 0 {
		return a.GetValues(), nil
	}
	r, err := gzip.NewReader(bytes.NewReader(a.GetPacked()))
	if err != nil {
		return nil, fmt.Errorf("relay: unpack: %w", err)
	}
	b, err := io.ReadAll(io.LimitReader(r, unpackedMost+1))
	if err != nil {
		return nil, fmt.Errorf("relay: unpack: %w", err)
	}
	if len(b) > unpackedMost {
		return nil, errUnpacked
	}
	var m peerpb.PackedValues
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("relay: unpack: %w", err)
	}
	return m.GetValues(), nil
}
