// Package finding collects validation errors of an input document with their
// positions, so that all of them are reported together.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Place is the position of a finding in the input.
type Place struct {
	// Value is the name of the file or of the platform's value.
	Value string
	// Line and Column count from 1; 0 if the finding concerns the whole value.
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

// Finding is one validation error.
type Finding struct {
	Place Place
	Text  string
}

// String returns "place: text".
func (f Finding) String() string {
	return f.Place.String() + ": " + f.Text
}

// List collects findings. The zero value is an empty list.
type List struct {
	findings []Finding
}

// Add appends a finding with a formatted text.
func (l *List) Add(p Place, format string, args ...any) {
	l.findings = append(l.findings, Finding{Place: p, Text: fmt.Sprintf(format, args...)})
}

// Append adds findings that were collected elsewhere.
func (l *List) Append(fs []Finding) {
	l.findings = append(l.findings, fs...)
}

// All returns the findings sorted by value, line, column and text.
func (l *List) All() []Finding {
	slices.SortStableFunc(l.findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.Place.Value, b.Place.Value),
			cmp.Compare(a.Place.Line, b.Place.Line),
			cmp.Compare(a.Place.Column, b.Place.Column),
			cmp.Compare(a.Text, b.Text),
		)
	})
	return l.findings
}

// Error is an error that consists of findings.
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
