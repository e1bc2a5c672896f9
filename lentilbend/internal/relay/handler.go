package relay

import (
	"time"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// Handle processes the announcements in a peer's frame that was sent after sentAfter.
func (r *Relay) Handle(_, sentAfter time.Time, from member.ID, f *peerpb.Frame) {
	r.Receive(sentAfter, from.Address, f.GetConfig())
}
