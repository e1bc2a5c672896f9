package choice

import "time"

// Times of a server's word that it drains. A first word may be wrong: each VM
// checks it with one request between drainCheck and drainChecked. Otherwise it
// counts for drainMost, after which the server is in doubt.
const (
	drainCheck   = time.Second
	drainChecked = 2 * time.Second
	drainMost    = 10 * time.Minute
)

// drain is what a server says of leaving.
type drain struct {
	said      bool
	confirmed bool // said again after drainCheck
	at        time.Time
}

// hear takes the server's word at a time.
func (d *drain) hear(at time.Time) {
	switch {
	case !d.said:
		*d = drain{said: true, at: at}
	case d.confirmed || at.Sub(d.at) >= drainCheck:
		*d = drain{said: true, confirmed: true, at: at}
	}
}

// open says whether one request may check the word now.
func (d *drain) open(now time.Time) bool {
	age := now.Sub(d.at)
	return d.said && !d.confirmed && age >= drainCheck && age < drainChecked
}

// over says whether the word is too old to count.
func (d *drain) over(now time.Time) bool {
	return d.said && now.Sub(d.at) >= drainMost
}

// drains says whether the server said of itself that it wants no new work.
func (s *server) drains(now time.Time) bool {
	return s.drain.said && !s.drain.over(now)
}

// undrain forgets a word that is too old; by now the server may have been
// started anew.
func (s *server) undrain(now time.Time) {
	if s.drain.over(now) {
		s.drain = drain{}
		s.start.doubt(now)
	}
}
