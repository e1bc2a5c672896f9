package relay

import (
	"time"

	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// Handle processes the announcements in a peer's frame.
func (r *Relay) Handle(_ time.Time, from member.ID, f *peerpb.Frame) {
	r.Receive(from.Address, f.GetConfig())
}
