package history

import (
	"fmt"
	"net/netip"

	"github.com/anishathalye/porcupine"
)

// editInput and readInput are the inputs of the operations on the configuration
// of one VM: an edit of the table, and a read of the revision in force.
type editInput struct {
	revision uint64
}

type readInput struct{}

// configState is the state of the configuration of one VM.
type configState struct {
	newestEdited, lastRead uint64
}

// configModel is the sequential model for porcupine's linearizability check. It
// accepts reads that lag behind the edits, but none of a revision that is older
// than that of an earlier read or newer than the newest edit.
var configModel = porcupine.Model{
	Init: func() any { return configState{} },
	Step: func(state, input, output any) (bool, any) {
		s := state.(configState)
		switch i := input.(type) {
		case editInput:
			s.newestEdited = max(s.newestEdited, i.revision)
			return true, s
		case readInput:
			n := output.(uint64)
			ok := s.lastRead <= n && n <= s.newestEdited
			s.lastRead = n
			return ok, s
		}
		return false, s
	},
}

// checkConfiguration finds VMs whose revision went back, was never published, or
// was older than allowed.
func checkConfiguration(x *index) []Violation {
	seen := map[netip.AddrPort][]RevisionObserved{}
	var edits []TableEdited
	for _, e := range x.Events {
		switch e := e.(type) {
		case RevisionObserved:
			seen[e.VM] = append(seen[e.VM], e)
		case TableEdited:
			edits = append(edits, e)
		}
	}
	var vs []Violation
	for a, ss := range seen {
		if !porcupine.CheckOperations(configModel, configOperations(edits, ss)) {
			vs = append(vs, Violation{At: ss[0].Start, Text: fmt.Sprintf("the revision in force at %s went back or was never published", a)})
		}
		vs = append(vs, findLate(edits, ss)...)
	}
	return vs
}

// configOperations returns the edits and the observations of one VM as the
// operations that porcupine checks.
func configOperations(edits []TableEdited, ss []RevisionObserved) []porcupine.Operation {
	var os []porcupine.Operation
	for _, e := range edits {
		os = append(os, porcupine.Operation{
			Input:  editInput{revision: e.Revision},
			Call:   e.Start.UnixNano(),
			Return: e.End.UnixNano(),
		})
	}
	for _, s := range ss {
		os = append(os, porcupine.Operation{
			ClientId: 1,
			Input:    readInput{},
			Output:   s.Revision,
			Call:     s.Start.UnixNano(),
			Return:   s.End.UnixNano(),
		})
	}
	return os
}

// findLate finds observations of a revision that was still in force more than
// MaxConfigurationDelay after the edit to a newer one.
func findLate(edits []TableEdited, ss []RevisionObserved) []Violation {
	var vs []Violation
	for _, s := range ss {
		for _, e := range edits {
			if s.Revision < e.Revision && s.Start.After(e.End.Add(MaxConfigurationDelay)) {
				vs = append(vs, Violation{At: s.Start, Text: fmt.Sprintf("revision %d was still in force at %s %s after the edit to revision %d", s.Revision, s.VM, s.Start.Sub(e.End), e.Revision)})
			}
		}
	}
	return vs
}
