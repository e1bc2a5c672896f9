package limit

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// peer is another entry VM.
type peer struct {
	id member.ID

	// out orders the messages to the peer.
	out  sync.Mutex
	sent uint64

	// The rest is guarded by the fleet's mu.
	// met is when the peer became known, seen when it last was a member or heard.
	met  time.Time
	seen time.Time
	// echo is the newest Sent of the peer, heard when it came.
	echo  uint64
	heard time.Time
	// due is when the next renewal goes out.
	due time.Time
	// hastened is when a renewal was last sent before its time.
	hastened time.Time
	// borrowed holds the serials of the loans that the peer's last renewal
	// named, credited and ended those whose level came and that went back.
	borrowed map[uint32]uint32
	credited map[uint32]uint32
	ended    map[uint32]*peerpb.LimitReturn
	// wanted says that the peer asks for loans of a limit as its home.
	wanted map[uint32]bool
}

func newPeer(id member.ID) *peer {
	return &peer{
		id:       id,
		borrowed: map[uint32]uint32{},
		credited: map[uint32]uint32{},
		ended:    map[uint32]*peerpb.LimitReturn{},
		wanted:   map[uint32]bool{},
	}
}

// frameBytes is what a message costs beside its own length: the frame around
// it, and its part of the headers below.
const frameBytes = 70

// post stamps a message and hands it to the transport, in the order of stamps.
// It returns the bytes it costs.
func (f *Fleet) post(now time.Time, p *peer, m *peerpb.LimitMessage) int {
	p.out.Lock()
	defer p.out.Unlock()
	p.sent = max(f.stamp(now), p.sent+1)
	m.To, m.Sent = p.id.Incarnation, p.sent
	f.Send(Send{To: p.id, Message: m})
	return proto.Size(m) + frameBytes
}
