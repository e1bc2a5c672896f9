package choice

import "time"

// Times since a server announced that it drains. A first announcement may be
// wrong, so each VM checks it with one request between drainCheckAfter and
// drainCheckBefore. An announcement expires after drainTTL; the server is then
// suspect.
const (
	drainCheckAfter  = time.Second
	drainCheckBefore = 2 * time.Second
	drainTTL         = 10 * time.Minute
)

// drain is the drain state that a server announced.
type drain struct {
	announced bool
	confirmed bool // announced again after drainCheckAfter
	at        time.Time
}

// addAnnouncement records a drain announcement of the server.
func (d *drain) addAnnouncement(at time.Time) {
	switch {
	case !d.announced:
		*d = drain{announced: true, at: at}
	case d.confirmed || at.Sub(d.at) >= drainCheckAfter:
		*d = drain{announced: true, confirmed: true, at: at}
	}
}

// checkDue reports whether a request may check the announcement now.
func (d *drain) checkDue(now time.Time) bool {
	age := now.Sub(d.at)
	return d.announced && !d.confirmed && age >= drainCheckAfter && age < drainCheckBefore
}

// expired reports whether the announcement is older than drainTTL.
func (d *drain) expired(now time.Time) bool {
	return d.announced && now.Sub(d.at) >= drainTTL
}

// draining reports whether the server announced that it accepts no new
// requests.
func (s *server) draining(now time.Time) bool {
	return s.drain.announced && !s.drain.expired(now)
}

// expireDrain drops an expired announcement and marks the server as suspect,
// since it may have been restarted meanwhile.
func (s *server) expireDrain(now time.Time) {
	if s.drain.expired(now) {
		s.drain = drain{}
		s.coldStart.markSuspect(now)
	}
}
