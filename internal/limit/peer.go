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

	// sendMu keeps messages to the peer in the order of their timestamps.
	sendMu   sync.Mutex
	lastSent uint64

	// The rest is guarded by the fleet's mu.
	// firstSeen is when the peer became known, lastSeen when it last was a member
	// or sent a message.
	firstSeen time.Time
	lastSeen  time.Time
	// lastTimestamp is the newest Sent timestamp of the peer's messages,
	// lastReceived when that message arrived.
	lastTimestamp uint64
	lastReceived  time.Time
	// nextRenewal is when the next renewal to the peer is due.
	nextRenewal time.Time
	// lastEarlyRenewal is when a renewal was last sent ahead of schedule.
	lastEarlyRenewal time.Time
	// By limit ID: delegations holds the serial numbers in the peer's last
	// renewal, credited those of the delegations whose level was added, and
	// returned the last delegations that were returned to the peer.
	delegations map[uint32]uint32
	credited    map[uint32]uint32
	returned    map[uint32]*peerpb.LimitReturn
	// wanted holds the limits whose delegation the peer asks for as their owner.
	wanted map[uint32]bool
}

func newPeer(id member.ID) *peer {
	return &peer{
		id:          id,
		delegations: map[uint32]uint32{},
		credited:    map[uint32]uint32{},
		returned:    map[uint32]*peerpb.LimitReturn{},
		wanted:      map[uint32]bool{},
	}
}

// frameOverhead is the number of bytes that a message costs in addition to its
// size: the frame around it and its portion of the network headers.
const frameOverhead = 70

// send sets the timestamp of a message and passes it to the transport, in the
// order of timestamps. It returns the message's cost in bytes.
func (f *Fleet) send(now time.Time, p *peer, m *peerpb.LimitMessage) int {
	p.sendMu.Lock()
	defer p.sendMu.Unlock()
	p.lastSent = max(f.timestamp(now), p.lastSent+1)
	m.To, m.Sent = p.id.Incarnation, p.lastSent
	f.Send(Envelope{To: p.id, Message: m})
	return proto.Size(m) + frameOverhead
}
