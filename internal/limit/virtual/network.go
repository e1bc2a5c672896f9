package virtual

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/peerpb"
)

func (w *World) send(from *VM, s limit.Outgoing) {
	n := proto.Size(s.Message)
	w.Messages++
	w.Bytes += n
	from.Sent++
	from.Bytes += n
	to := w.find(s.To.Address)
	if to == nil || w.Random.Float64() < w.Loss || w.cut != nil && w.cut(from, to) {
		return
	}
	b, err := proto.Marshal(s.Message)
	if err != nil {
		return
	}
	w.deliver(from, to, b)
	if w.Random.Float64() < w.Repeat {
		w.deliver(from, to, b)
	}
}

func (w *World) deliver(from, to *VM, b []byte) {
	w.At(w.now+w.delay(), func() {
		to.Do(func() {
			m := &peerpb.LimitMessage{}
			if proto.Unmarshal(b, m) == nil {
				to.Fleet.Receive(to.Now(), from.ID, m)
			}
		})
	})
}

// delay draws how long a message takes.
func (w *World) delay() time.Duration {
	d := w.Delay
	if w.Spread > 0 {
		d += time.Duration(w.Random.Int63n(int64(w.Spread)))
	}
	if w.Random.Float64() < w.Late {
		d += time.Duration(w.Random.Int63n(int64(w.LateMax)))
	}
	return d
}

// find returns the process that runs at an address.
func (w *World) find(a netip.AddrPort) *VM {
	for _, v := range w.VMs {
		if v.ID.Address == a && v.Alive {
			return v
		}
	}
	return nil
}
