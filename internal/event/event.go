// Package event carries typed events between the parts of one process over
// watermill.
package event

import "time"

// Event is one of the event types of this package.
type Event interface {
	topic() string
}

// Tick is published by the timer service at its resolution.
type Tick struct {
	// Now is the wall-clock time of the tick.
	Now time.Time
}

// Pause says that the process did not run for Length.
type Pause struct {
	Now    time.Time
	Length time.Duration
}

// TableAccepted says that a new revision of the table is in force.
type TableAccepted struct {
	Revision uint64
}

// TableRefused says that a revision was invalid.
type TableRefused struct {
	Revision uint64
	Findings int
}

// ListRead says that the platform's VM list was read.
type ListRead struct {
	Revision uint64
}

// SettingsRead says that the settings file was read again.
type SettingsRead struct{}

// Stopping says that a planned stop began.
type Stopping struct{}

func (Tick) topic() string          { return "tick" }
func (Pause) topic() string         { return "pause" }
func (TableAccepted) topic() string { return "table-accepted" }
func (TableRefused) topic() string  { return "table-refused" }
func (ListRead) topic() string      { return "list-read" }
func (SettingsRead) topic() string  { return "settings-read" }
func (Stopping) topic() string      { return "stopping" }
