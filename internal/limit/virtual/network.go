package virtual

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/peerpb"
)

// send sends a limit message, which may be lost, late or duplicated.
func (w *World) send(from *VM, s limit.Envelope) {
	n := proto.Size(s.Message)
	w.Messages++
	w.Bytes += n
	from.Sent++
	from.Bytes += n
	to := w.processAt(s.To.Address)
	if to == nil || w.Random.Float64() < w.LossRatio || w.partitioned != nil && w.partitioned(from, to) {
		return
	}
	b, err := proto.Marshal(s.Message)
	if err != nil {
		return
	}
	w.deliver(from, to, b)
	if w.Random.Float64() < w.DuplicateRatio {
		w.deliver(from, to, b)
	}
}

func (w *World) deliver(from, to *VM, b []byte) {
	w.At(w.now+w.messageDelay(), func() {
		to.Do(func() {
			m := &peerpb.LimitMessage{}
			if proto.Unmarshal(b, m) == nil {
				to.Fleet.Receive(to.Now(), from.ID, m)
			}
		})
	})
}

// messageDelay returns a random one-way delay of a message.
func (w *World) messageDelay() time.Duration {
	d := w.MinDelay
	if w.MaxJitter > 0 {
		d += time.Duration(w.Random.Int63n(int64(w.MaxJitter)))
	}
	if w.Random.Float64() < w.LateRatio {
		d += time.Duration(w.Random.Int63n(int64(w.MaxLateness)))
	}
	return d
}

// processAt returns the live process at an address, or nil.
func (w *World) processAt(a netip.AddrPort) *VM {
	for _, v := range w.VMs {
		if v.ID.Address == a && v.Alive {
			return v
		}
	}
	return nil
}
