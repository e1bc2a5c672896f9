package limit

import "time"

// demand is the measured use of one limit.
type demand struct {
	// requests is the number of this VM's requests since lastUpdate.
	requests int
	// rate is a moving average of this VM's requests per second.
	rate       float64
	lastUpdate time.Time
	// since is when the measurement began.
	since            time.Time
	lastLocalRequest time.Time
	// lastRemoteRequest is when another VM last requested tokens, or the owner
	// last requested a delegation.
	lastRemoteRequest time.Time
	// lastLocalShortage is when a request of this VM last found no token here.
	lastLocalShortage time.Time
	// lastRemoteShortage is when a token request of another VM last found too
	// few tokens.
	lastRemoteShortage time.Time
}

// demandInterval is the time between updates of the moving average.
const demandInterval = time.Second

func (d *demand) update(now time.Time) {
	t := now.Sub(d.lastUpdate)
	if t < demandInterval {
		return
	}
	if d.lastUpdate.IsZero() {
		d.lastUpdate, d.since = now, now
		return
	}
	r := float64(d.requests) / t.Seconds()
	d.rate += (r - d.rate) / 4
	d.requests, d.lastUpdate = 0, now
}

// lastUse is when the limit was last used, by this VM or another.
func (d *demand) lastUse() time.Time {
	if d.lastLocalRequest.After(d.lastRemoteRequest) {
		return d.lastLocalRequest
	}
	return d.lastRemoteRequest
}
