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
	// Deleted removes the value.
	Deleted bool
}

// edit is the change of a value at one revision.
type edit struct {
	revision uint64
	value    *platformpb.Value
}

// Load sets a value for each file NAME.toml below dir, in one revision.
func (s *Server) Load(dir string) error {
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

// Edit makes the changes in one revision and returns it.
func (s *Server) Edit(cs ...Change) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.revision() + 1
	for _, c := range cs {
		v := &platformpb.Value{Name: c.Name, Revision: n, Deleted: c.Deleted, Text: c.Text}
		s.edits = append(s.edits, edit{revision: n, value: v})
	}
	s.wake()
	return n
}

// Revision returns the newest revision.
func (s *Server) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision()
}

// Text returns the text of a value in the newest revision.
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

func (s *Server) revision() uint64 {
	if len(s.edits) == 0 {
		return 0
	}
	return s.edits[len(s.edits)-1].revision
}

// sinceLocked returns the values of revision newest that changed after the
// given revision. The caller holds mu.
func (s *Server) sinceLocked(after, newest uint64) *platformpb.ValuesAnswer {
	a := &platformpb.ValuesAnswer{Revision: newest}
	last := map[string]int{}
	for _, e := range s.edits {
		if e.revision <= after || e.revision > newest {
			continue
		}
		n := e.value.GetName()
		if i, ok := last[n]; ok {
			a.Values[i] = e.value
			continue
		}
		last[n] = len(a.Values)
		a.Values = append(a.Values, e.value)
	}
	return proto.CloneOf(a)
}
