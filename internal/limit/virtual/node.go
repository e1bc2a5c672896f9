package virtual

import (
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lentilbend.example/internal/limit"
	"lentilbend.example/internal/member"
	"lentilbend.example/internal/peerpb"
)

// Times of the platform's list.
const (
	readEvery = 5 * time.Second
	listAge   = 10 * time.Second
)

// Platform is the platform's list of entry VMs.
type Platform struct {
	// Lag is how late VMs enter and leave the list.
	Lag time.Duration
	// Down makes all reads fail.
	Down bool

	versions [][]member.VM
	frozen   int
}

// Freeze makes all reads answer what the list is now.
func (p *Platform) Freeze() {
	p.frozen = len(p.versions)
}

// change publishes another version of the list.
func (p *Platform) change(f func([]member.VM) []member.VM) {
	var vs []member.VM
	if n := len(p.versions); n > 0 {
		vs = slices.Clone(p.versions[n-1])
	}
	p.versions = append(p.versions, f(vs))
}

// read returns the revision and the list.
func (p *Platform) read() (uint64, []member.VM) {
	n := len(p.versions)
	if p.frozen > 0 {
		n = p.frozen
	}
	if n == 0 {
		return 0, nil
	}
	return uint64(n), p.versions[n-1]
}

// real gives a VM the membership that the product has.
func (w *World) real(v *VM, old bool) {
	v.node = &member.Node{
		Self:              v.ID,
		DataCentre:        v.DataCentre,
		LeaseDuration:     member.DefaultLeaseDuration,
		MaxListAge:        listAge,
		MaxDelegationTime: limit.LoanMax,
		MaxRequestTime:    limit.LoanMax + w.Longest,
		MaxListOutage:     member.DefaultMaxListOutage,
		MaxClockDrift:     member.DefaultMaxClockDrift,
		LatestDeadline:    v.Fleet.RunningUntil,
	}
	v.greeted = map[member.ID]bool{}
	add := func() {
		w.Platform.change(func(vs []member.VM) []member.VM {
			vs = without(vs, v.ID.Address)
			return append(vs, member.VM{Address: v.ID.Address, DataCentre: v.DataCentre})
		})
	}
	if old {
		add()
	} else {
		w.At(w.now+w.Platform.Lag, add)
	}
	w.At(w.now+time.Duration(w.Random.Int63n(int64(time.Second))), func() { w.list(v) })
}

func without(vs []member.VM, a netip.AddrPort) []member.VM {
	return slices.DeleteFunc(vs, func(o member.VM) bool { return o.Address == a })
}

// unlist takes a VM that crashed out of the list, unless its address runs again.
func (w *World) unlist(v *VM) {
	w.At(w.now+w.Platform.Lag, func() {
		if w.find(v.ID.Address) == nil {
			w.Platform.change(func(vs []member.VM) []member.VM { return without(vs, v.ID.Address) })
		}
	})
}

// list reads the platform's list from time to time. A starting VM learns of its
// peers from its settings too.
func (w *World) list(v *VM) {
	if !v.Alive {
		return
	}
	if !v.Frozen {
		w.read(v)
	}
	w.At(w.now+readEvery, func() { w.list(v) })
}

func (w *World) read(v *VM) {
	n := v.Now()
	var seeds []netip.AddrPort
	for _, o := range w.VMs {
		if o.Alive && o != v {
			seeds = append(seeds, o.ID.Address)
		}
	}
	w.mail(v, v.node.Seed(n, seeds))
	if w.Platform.Down {
		return
	}
	r, vs := w.Platform.read()
	w.mail(v, v.node.ApplyList(n, n, r, vs))
}

// step is one tick of the membership.
func (w *World) step(v *VM) {
	n := v.Now()
	w.mail(v, v.node.Tick(n))
	v.Fleet.Members(n, v.node.Share(n), v.node.Members())
}

// mail sends messages of the membership.
func (w *World) mail(from *VM, ss []member.Envelope) {
	for _, s := range ss {
		w.MemberMessages++
		w.MemberBytes += proto.Size(s.Message)
		to := w.find(s.To.Address)
		if to == nil || w.Random.Float64() < w.Loss || w.cut != nil && w.cut(from, to) {
			continue
		}
		m := s.Message
		w.At(w.now+w.delay(), func() { to.Do(func() { w.heard(to, from, m) }) })
	}
}

// heard takes in a message, the first one of a process as on a new stream.
func (w *World) heard(to, from *VM, m *peerpb.MemberMessage) {
	if !to.greeted[from.ID] {
		to.greeted[from.ID] = true
		w.mail(to, to.node.HandleConnect(to.Now(), from.ID, from.DataCentre))
	}
	w.mail(to, to.node.Receive(to.Now(), from.ID, m))
}

// Leave begins a planned stop.
func (w *World) Leave(v *VM) {
	v.Leaving = true
	v.Fleet.Leave(v.Now())
	if v.node != nil {
		w.mail(v, v.node.Leave(v.Now()))
	}
}

// Share returns the VM's own share.
func (v *VM) Share() member.Share {
	if v.node != nil {
		return v.node.Share(v.Now())
	}
	return v.world.share(v)
}

// Believes returns the VMs that v believes to answer, itself included.
func (v *VM) Believes() []member.ID {
	ids := []member.ID{v.ID}
	ms := v.world.members(v)
	if v.node != nil {
		ms = v.node.Members()
	}
	for _, m := range ms {
		if m.Answering && !m.Leaving && m.ID != v.ID {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// DumpMembers returns the state of the VM's membership.
func (v *VM) DumpMembers() any {
	return v.node.Dump()
}
