package serve

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/go-kit/log/level"

	"lentilbend.example/internal/event"

	"lentilbend.example/lentilbend/internal/settings"
)

// settingsCheckInterval is the time between checks of the settings file, which may
// change without a signal.
const settingsCheckInterval = 5 * time.Second

// watchSettings reloads the settings file when it changed or when asked to, until
// ctx is done.
func (p *Process) watchSettings(ctx context.Context) error {
	if p.SettingsFile == "" {
		return nil
	}
	last := modTime(p.SettingsFile)
	t := time.NewTicker(settingsCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.reloadRequests:
		case <-t.C:
			if modTime(p.SettingsFile).Equal(last) {
				continue
			}
		}
		last = modTime(p.SettingsFile)
		p.reload()
	}
}

// modTime returns when a file was last written, or the zero time when that is
// unknown.
func modTime(path string) time.Time {
	i, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}

// reload applies the settings that may change while the process runs: the log
// level, those of the graceful shutdown and, in an open fleet, the seeds and the rate overage and tolerance. An
// invalid file changes nothing.
func (p *Process) reload() {
	s, err := settings.Read(p.SettingsFile)
	if err != nil {
		_ = level.Warn(p.logger).Log("msg", "Invalid settings file; keeping the current settings.", "err", err)
		return
	}
	if err := p.root.SetLevel(s.Log.Level); err != nil {
		_ = level.Warn(p.logger).Log("msg", "Invalid log level; keeping the current one.", "err", err)
	}
	p.stopSettings.Store(&s.Stop)
	if p.isOpenFleet() {
		p.openFleet.SetSeeds(s.Peer.Seeds)
		p.workspaceLimits.SetOverage(s.Fleet.RateOverage, s.Fleet.RateTolerance)
	}
	_ = level.Info(p.logger).Log("msg", "Settings reloaded.", "seeds", len(s.Peer.Seeds), "restart", needsRestart(p.Settings, s))
	if err := p.bus.Publish(event.SettingsRead{}); err != nil {
		_ = level.Warn(p.logger).Log("msg", "Failed to publish the settings event.", "err", err)
	}
}

// needsRestart reports whether any settings differ other than those that reload
// applies in an open fleet and those that matter only at the start. In other fleets it
// misses changed seeds, which do need a restart there.
func needsRestart(o, n *settings.Settings) bool {
	a, b := *o, *n
	for _, s := range []*settings.Settings{&a, &b} {
		s.Log.Level = ""
		s.Stop = settings.Stop{}
		s.Peer.Seeds = nil
		s.Fleet.RateOverage, s.Fleet.RateTolerance = 0, 0
		s.Platform.InitialWait, s.Platform.AloneWait = 0, 0
		s.Caller.TableWait = 0
	}
	return !reflect.DeepEqual(a, b)
}
