package roster

import "time"

// summaryTTL is how long a summary is used. Messages arrive much more often at a
// coordinator of a large fleet, and a summary takes time in proportion to the fleet.
const summaryTTL = reportInterval / 10

// summary is what messages state about all known VMs.
type summary struct {
	// memberHash is a hash of the known members and their state. A coordinator
	// sends its member list only to VMs with a different hash.
	memberHash uint64
	// reporting is how many VMs report to this one, itself included.
	reporting int
	// silent is how many VMs are neither live nor known to have stopped.
	silent int
}

// summarize returns the summary of the known VMs, which is at most summaryTTL old and
// includes all changes of the members.
func (r *Roster) summarize(now time.Time) summary {
	if !r.summarizedAt.IsZero() && now.Sub(r.summarizedAt) < summaryTTL {
		return r.summary
	}
	s := summary{memberHash: (&vm{id: r.Self}).hash(true), reporting: 1}
	for _, v := range r.vms {
		live := r.live(now, v)
		if h := v.hash(live); h != v.stateHash {
			v.stateHash, v.changed = h, now
		}
		s.memberHash += v.stateHash
		if !v.ended.IsZero() {
			continue
		}
		if now.Sub(v.lastReport) < silentTimeout {
			s.reporting++
		}
		if !live {
			s.silent++
		}
	}
	r.summary, r.summarizedAt = s, now
	return s
}
