package platform

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"lentilbend.example/internal/platformpb"
	"lentilbend.example/internal/table"
)

// Change sets or deletes one value.
type Change struct {
	Name string
	Text string
	// Deleted is set to delete the value.
	Deleted bool
}

// edit is the change of a value at one revision.
type edit struct {
	revision uint64
	value    *platformpb.Value
}

// LoadFolder sets a value for each file NAME.toml below dir, all in one revision.
func (s *Server) LoadFolder(dir string) error {
	vs, err := table.ReadFolder(dir)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	var cs []Change
	for _, v := range vs {
		cs = append(cs, Change{Name: v.Name, Text: v.Text})
	}
	s.Edit(cs...)
	return nil
}

// Edit applies the changes as one new revision and returns its number.
func (s *Server) Edit(cs ...Change) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.revisionLocked() + 1
	for _, c := range cs {
		v := &platformpb.Value{Name: c.Name, Revision: n, Deleted: c.Deleted, Text: c.Text}
		s.edits = append(s.edits, edit{revision: n, value: v})
	}
	s.wakeLocked()
	return n
}

// Revision returns the newest revision.
func (s *Server) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revisionLocked()
}

// Text returns the text of a value in the newest revision. It returns false if there
// is no such value.
func (s *Server) Text(name string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.edits) - 1; i >= 0; i-- {
		if v := s.edits[i].value; v.GetName() == name {
			return v.GetText(), !v.GetDeleted()
		}
	}
	return "", false
}

// revisionLocked returns the newest revision, 0 before the first edit. The caller
// holds mu.
func (s *Server) revisionLocked() uint64 {
	if len(s.edits) == 0 {
		return 0
	}
	return s.edits[len(s.edits)-1].revision
}

// valuesSinceLocked returns the values that changed in the revisions from after+1 to
// newest. The caller holds mu.
func (s *Server) valuesSinceLocked(after, newest uint64) *platformpb.ValuesAnswer {
	a := &platformpb.ValuesAnswer{Revision: newest}
	indexes := map[string]int{}
	for _, e := range s.edits {
		if e.revision <= after || e.revision > newest {
			continue
		}
		n := e.value.GetName()
		if i, ok := indexes[n]; ok {
			a.Values[i] = e.value
			continue
		}
		indexes[n] = len(a.Values)
		a.Values = append(a.Values, e.value)
	}
	return proto.CloneOf(a)
}
