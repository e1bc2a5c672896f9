// Package finding collects faults of an input with the place of each, so that
// all of them are reported together.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Place says where in an input a fault stands.
type Place struct {
	// Value names the file or the platform value.
	Value string
	// Line and Column count from 1; 0 means that the whole value is meant.
	Line, Column int
	// Field is the dotted path of the field, such as "Server[3].Address".
	Field string
}

// String returns "value:line:column: field".
func (p Place) String() string {
	s := p.Value
	if p.Line > 0 {
		s = fmt.Sprintf("%s:%d:%d", s, p.Line, p.Column)
	}
	if p.Field != "" {
		s += ": " + p.Field
	}
	return s
}

// Finding is one fault.
type Finding struct {
	Place Place
	Text  string
}

// String returns the place and the text.
func (f Finding) String() string {
	return f.Place.String() + ": " + f.Text
}

// List collects findings; its zero value is ready for use.
type List struct {
	all []Finding
}

// Add appends a finding with a formatted text.
func (l *List) Add(p Place, format string, args ...any) {
	l.all = append(l.all, Finding{Place: p, Text: fmt.Sprintf(format, args...)})
}

// Append takes over the findings of another list.
func (l *List) Append(fs []Finding) {
	l.all = append(l.all, fs...)
}

// All returns the findings ordered by place.
func (l *List) All() []Finding {
	slices.SortStableFunc(l.all, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.Place.Value, b.Place.Value),
			cmp.Compare(a.Place.Line, b.Place.Line),
			cmp.Compare(a.Place.Column, b.Place.Column),
			cmp.Compare(a.Text, b.Text),
		)
	})
	return l.all
}

// Error is an error made of findings.
type Error struct {
	Findings []Finding
}

// Error returns one line for each finding.
func (e *Error) Error() string {
	var b strings.Builder
	for i, f := range e.Findings {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(f.String())
	}
	return b.String()
}
