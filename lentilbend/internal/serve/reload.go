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

// reloadCheck is the time between looks at the settings file, which may change
// without a signal.
const reloadCheck = 5 * time.Second

// watchSettings rereads the settings file when it changed, until ctx ends.
func (p *Process) watchSettings(ctx context.Context) error {
	if p.SettingsFile == "" {
		return nil
	}
	last := modified(p.SettingsFile)
	t := time.NewTicker(reloadCheck)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.reloads:
		case <-t.C:
			if modified(p.SettingsFile).Equal(last) {
				continue
			}
		}
		last = modified(p.SettingsFile)
		p.reload()
	}
}

// modified returns when a file was last written; zero when it cannot be told.
func modified(path string) time.Time {
	i, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}

// reload puts the settings in force that may change while the process runs: the
// log level, the seeds and the bounds of the fleet. Wrong settings change
// nothing.
func (p *Process) reload() {
	s, err := settings.Read(p.SettingsFile)
	if err != nil {
		_ = level.Warn(p.logger).Log("msg", "Settings refused.", "err", err)
		return
	}
	if err := p.root.SetLevel(s.Log.Level); err != nil {
		_ = level.Warn(p.logger).Log("msg", "Log level refused.", "err", err)
	}
	if p.isOpen() {
		p.open.SetSeeds(s.Peer.Seeds)
		p.workspaces.SetOverage(s.Fleet.RateOverage, s.Fleet.RateTolerance)
	}
	_ = level.Info(p.logger).Log("msg", "Settings read again.", "seeds", len(s.Peer.Seeds), "restart", needsRestart(p.Settings, s))
	if err := p.bus.Publish(event.SettingsRead{}); err != nil {
		_ = level.Warn(p.logger).Log("msg", "Event lost.", "err", err)
	}
}

// needsRestart tells whether settings differ that only a start puts in force:
// all but those that reload takes.
func needsRestart(o, n *settings.Settings) bool {
	a, b := *o, *n
	for _, s := range []*settings.Settings{&a, &b} {
		s.Log.Level = ""
		s.Peer.Seeds = nil
		s.Fleet.RateOverage, s.Fleet.RateTolerance = 0, 0
	}
	return !reflect.DeepEqual(a, b)
}
