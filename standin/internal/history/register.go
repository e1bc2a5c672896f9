package history

import (
	"fmt"
	"net/netip"

	"github.com/anishathalye/porcupine"
)

// edit and look are the operations on the configuration of one VM.
type edit struct {
	revision uint64
}

type look struct{}

// register is the configuration as one VM sees it.
type register struct {
	newest, inForce uint64
}

// model is a register that may lag behind the edits and never goes back.
var model = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		r := state.(register)
		switch i := input.(type) {
		case edit:
			r.newest = max(r.newest, i.revision)
			return true, r
		case look:
			n := output.(uint64)
			ok := r.inForce <= n && n <= r.newest
			r.inForce = n
			return ok, r
		}
		return false, r
	},
}

// configuration checks that no VM went back and that none was late.
func configuration(x *index) []Violation {
	seen := map[netip.AddrPort][]Seen{}
	var edits []Edited
	for _, e := range x.Events {
		switch e := e.(type) {
		case Seen:
			seen[e.VM] = append(seen[e.VM], e)
		case Edited:
			edits = append(edits, e)
		}
	}
	var vs []Violation
	for a, ss := range seen {
		if !porcupine.CheckOperations(model, operations(edits, ss)) {
			vs = append(vs, Violation{At: ss[0].Start, Text: fmt.Sprintf("the revision in force at %s went back or came from nowhere", a)})
		}
		vs = append(vs, late(edits, ss)...)
	}
	return vs
}

func operations(edits []Edited, ss []Seen) []porcupine.Operation {
	var os []porcupine.Operation
	for _, e := range edits {
		os = append(os, porcupine.Operation{
			Input:  edit{revision: e.Revision},
			Call:   e.Start.UnixNano(),
			Return: e.At.UnixNano(),
		})
	}
	for _, s := range ss {
		os = append(os, porcupine.Operation{
			ClientId: 1,
			Input:    look{},
			Output:   s.Revision,
			Call:     s.Start.UnixNano(),
			Return:   s.End.UnixNano(),
		})
	}
	return os
}

// late returns the looks that show an older revision than one that had to be
// in force.
func late(edits []Edited, ss []Seen) []Violation {
	var vs []Violation
	for _, s := range ss {
		for _, e := range edits {
			if s.Revision < e.Revision && s.Start.After(e.At.Add(InForce)) {
				vs = append(vs, Violation{At: s.Start, Text: fmt.Sprintf("revision %d is in force at %s %s after the edit to %d", s.Revision, s.VM, s.Start.Sub(e.At), e.Revision)})
			}
		}
	}
	return vs
}
