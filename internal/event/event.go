// Package event is the event bus between the components of one process. Events
// are typed and are transported by watermill's in-memory channel.
package event

import "time"

// Event is implemented by the event types of this package.
type Event interface {
	topic() string
}

// Tick is published by timer.Service at its resolution.
type Tick struct {
	// Now is the wall-clock time of the tick.
	Now time.Time
}

// Pause is published after the process was paused for Length, for example because
// its VM was suspended. A wall clock that was set forward or back counts too.
type Pause struct {
	Now    time.Time
	Length time.Duration
}

// TableAccepted is published when a new revision of the table takes effect.
type TableAccepted struct {
	Revision uint64
}

// TableRefused is published when a revision of the table is invalid.
type TableRefused struct {
	Revision uint64
	// Findings is the number of validation errors.
	Findings int
}

// ListRead is published after a newer VM list of the platform was stored.
type ListRead struct {
	Revision uint64
}

// SettingsRead is published after the settings file was reloaded.
type SettingsRead struct{}

// Stopping is published when the graceful shutdown begins.
type Stopping struct{}

func (Tick) topic() string          { return "tick" }
func (Pause) topic() string         { return "pause" }
func (TableAccepted) topic() string { return "table-accepted" }
func (TableRefused) topic() string  { return "table-refused" }
func (ListRead) topic() string      { return "list-read" }
func (SettingsRead) topic() string  { return "settings-read" }
func (Stopping) topic() string      { return "stopping" }
