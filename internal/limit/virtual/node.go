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

const (
	listReadInterval = 5 * time.Second
	maxListAge       = 10 * time.Second
)

// Platform simulates the platform's list of entry VMs, which the real membership
// reads.
type Platform struct {
	// Lag is the delay with which VMs enter and leave the list.
	Lag time.Duration
	// Down makes all reads fail.
	Down bool

	// versions holds every version of the list; the revision of a version is
	// its index plus 1.
	versions [][]member.VM
	// frozenAt is the revision that all reads return; 0 stands for the latest.
	frozenAt int
}

// Freeze makes all later reads return the current version of the list.
func (p *Platform) Freeze() {
	p.frozenAt = len(p.versions)
}

// publish adds a version of the list, which f makes from the latest one.
func (p *Platform) publish(f func([]member.VM) []member.VM) {
	var vs []member.VM
	if n := len(p.versions); n > 0 {
		vs = slices.Clone(p.versions[n-1])
	}
	p.versions = append(p.versions, f(vs))
}

// read returns the revision of the list and the list.
func (p *Platform) read() (uint64, []member.VM) {
	n := len(p.versions)
	if p.frozenAt > 0 {
		n = p.frozenAt
	}
	if n == 0 {
		return 0, nil
	}
	return uint64(n), p.versions[n-1]
}

// startMembership starts the real membership on a VM. An established VM is on the
// list at once.
func (w *World) startMembership(v *VM, established bool) {
	v.node = &member.Node{
		Self:              v.ID,
		DataCentre:        v.DataCentre,
		LeaseDuration:     member.DefaultLeaseDuration,
		MaxListAge:        maxListAge,
		MaxDelegationTime: limit.MaxDelegationTime,
		MaxRequestTime:    limit.MaxDelegationTime + w.MaxRunTime,
		MaxListOutage:     member.DefaultMaxListOutage,
		MaxClockDrift:     member.DefaultMaxClockDrift,
		LatestDeadline:    v.Fleet.RunningUntil,
	}
	v.connected = map[member.ID]bool{}
	addToList := func() {
		w.Platform.publish(func(vs []member.VM) []member.VM {
			vs = without(vs, v.ID.Address)
			return append(vs, member.VM{Address: v.ID.Address, DataCentre: v.DataCentre})
		})
	}
	if established {
		addToList()
	} else {
		w.At(w.now+w.Platform.Lag, addToList)
	}
	w.At(w.now+time.Duration(w.Random.Int63n(int64(time.Second))), func() { w.pollList(v) })
}

func without(vs []member.VM, a netip.AddrPort) []member.VM {
	return slices.DeleteFunc(vs, func(o member.VM) bool { return o.Address == a })
}

// removeFromList removes a crashed VM from the list, unless by then a new process
// runs at its address.
func (w *World) removeFromList(v *VM) {
	w.At(w.now+w.Platform.Lag, func() {
		if w.processAt(v.ID.Address) == nil {
			w.Platform.publish(func(vs []member.VM) []member.VM { return without(vs, v.ID.Address) })
		}
	})
}

// pollList reads the platform's list every listReadInterval.
func (w *World) pollList(v *VM) {
	if !v.Alive {
		return
	}
	if !v.Frozen {
		w.readList(v)
	}
	w.At(w.now+listReadInterval, func() { w.pollList(v) })
}

// readList passes the list to v's membership, and as seeds the addresses of all live
// peers, which a real VM has in its settings.
func (w *World) readList(v *VM) {
	n := v.Now()
	var seeds []netip.AddrPort
	for _, o := range w.VMs {
		if o.Alive && o != v {
			seeds = append(seeds, o.ID.Address)
		}
	}
	w.sendMemberMessages(v, v.node.Seed(n, seeds))
	if w.Platform.Down {
		return
	}
	r, vs := w.Platform.read()
	w.sendMemberMessages(v, v.node.ApplyList(n, n, r, vs))
}

// tickMembership runs one tick of the real membership and passes its result to v's
// limits.
func (w *World) tickMembership(v *VM) {
	n := v.Now()
	w.sendMemberMessages(v, v.node.Tick(n))
	v.Fleet.SetMembers(n, v.node.Share(n), v.node.Members())
}

// sendMemberMessages sends membership messages, which may be lost or late.
func (w *World) sendMemberMessages(from *VM, ss []member.Envelope) {
	for _, s := range ss {
		w.MemberMessages++
		w.MemberBytes += proto.Size(s.Message)
		to := w.processAt(s.To.Address)
		if to == nil || w.Random.Float64() < w.LossRatio || w.partitioned != nil && w.partitioned(from, to) {
			continue
		}
		m := s.Message
		w.At(w.now+w.messageDelay(), func() { to.Do(func() { w.receiveMemberMessage(to, from, m) }) })
	}
}

// receiveMemberMessage passes a message to the receiver's membership. The first
// message from a process stands for a new stream from it.
func (w *World) receiveMemberMessage(to, from *VM, m *peerpb.MemberMessage) {
	if !to.connected[from.ID] {
		to.connected[from.ID] = true
		w.sendMemberMessages(to, to.node.HandleConnect(to.Now(), from.ID, from.DataCentre))
	}
	w.sendMemberMessages(to, to.node.Receive(to.Now(), from.ID, m))
}

// Leave begins the graceful shutdown of a VM.
func (w *World) Leave(v *VM) {
	v.Leaving = true
	v.Fleet.Leave(v.Now())
	if v.node != nil {
		w.sendMemberMessages(v, v.node.Leave(v.Now()))
	}
}

// Share returns the VM's own share.
func (v *VM) Share() member.Share {
	if v.node != nil {
		return v.node.Share(v.Now())
	}
	return v.world.fakeShare(v)
}

// AnsweringMembers returns the VMs that v believes to answer and not to be
// leaving, itself included.
func (v *VM) AnsweringMembers() []member.ID {
	ids := []member.ID{v.ID}
	ms := v.world.fakeMembers(v)
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

// DumpMembers returns the state of the VM's real membership.
func (v *VM) DumpMembers() any {
	return v.node.Dump()
}
