package scenario

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"lentilbend.example/internal/platformpb"

	"lentilbend.example/standin/internal/backend"
	"lentilbend.example/standin/internal/history"
	"lentilbend.example/standin/internal/platform"
)

// selectBackends returns the backend servers that a selector matches: "all", the
// name of a service, "SERVICE/NUMBER" with numbers from 1, or
// "centre/DATA-CENTRE".
func (s *state) selectBackends(selector string) ([]*backend.Server, error) {
	if s.fleet == nil {
		return nil, errNoFleet
	}
	first, rest, _ := strings.Cut(selector, "/")
	count := map[string]int{}
	var bs []*backend.Server
	for _, b := range s.fleet.Backends {
		count[b.Service]++
		switch {
		case selector == "all", selector == b.Service:
			bs = append(bs, b)
		case first == "centre" && rest == b.DataCentre:
			bs = append(bs, b)
		case first == b.Service && rest == strconv.Itoa(count[b.Service]):
			bs = append(bs, b)
		}
	}
	if len(bs) == 0 {
		return nil, fmt.Errorf("no backend server matches %q", selector)
	}
	return bs, nil
}

// setBackend changes how the selected backend servers behave:
// backend SELECTOR MODE....
func setBackend(s *state, args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("usage: backend SELECTOR MODE")
	}
	bs, err := s.selectBackends(args[0])
	if err != nil {
		return err
	}
	m, err := backend.ParseMode(strings.Join(args[1:], " "))
	if err != nil {
		return err
	}
	for _, b := range bs {
		b.SetMode(m)
	}
	return nil
}

// setLeaving marks backend servers as leaving on the platform's VM list, or as
// live again: leave SELECTOR [back].
func setLeaving(s *state, args []string) error {
	if len(args) == 0 || len(args) > 2 {
		return fmt.Errorf("usage: leave SELECTOR [back]")
	}
	bs, err := s.selectBackends(args[0])
	if err != nil {
		return err
	}
	var as []netip.AddrPort
	for _, b := range bs {
		v := platform.BackendVM(b.Address, b.DataCentre)
		if len(args) == 1 {
			v.State = platformpb.VmState_STATE_LEAVING
		}
		s.fleet.Platform.SetVM(v)
		as = append(as, b.Address)
	}
	if len(args) == 2 {
		s.fleet.Recorder.RecordEvent(history.ServersRestored{Servers: as, At: time.Now()})
		return nil
	}
	s.fleet.Recorder.RecordEvent(history.ServersWithdrawn{Servers: as, At: time.Now().Add(s.listLag)})
	return nil
}

// setPlatform changes how the platform answers all entry VMs, or only one of
// them: platform [ENTRY-VM] MODE....
func setPlatform(s *state, args []string) error {
	if s.fleet == nil {
		return errNoFleet
	}
	if len(args) == 0 {
		return fmt.Errorf("usage: platform [ENTRY-VM] MODE")
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		m, err := platform.ParseMode(strings.Join(args, " "))
		if err != nil {
			return err
		}
		s.fleet.Platform.SetMode(m)
		return nil
	}
	m, err := platform.ParseMode(strings.Join(args[1:], " "))
	if err != nil {
		return err
	}
	as := s.fleet.Platform.Addresses
	if n < 1 || n > len(as) {
		return fmt.Errorf("no entry VM %d", n)
	}
	s.fleet.Platform.SetReaderMode(as[n-1], m)
	return nil
}

// withdrawKey removes the key of a workspace from the table:
// withdraw WORKSPACE.
func withdrawKey(s *state, args []string) error {
	return s.setKey(args, true)
}

// restoreKey adds a withdrawn key to the table again: give WORKSPACE.
func restoreKey(s *state, args []string) error {
	return s.setKey(args, false)
}

func (s *state) setKey(args []string, withdrawn bool) error {
	if s.fleet == nil {
		return errNoFleet
	}
	if err := checkArgCount(args, 1, "withdraw|give WORKSPACE"); err != nil {
		return err
	}
	return s.fleet.SetKeyWithdrawn(args[0], withdrawn)
}

// setDataCentre takes a data centre out of service or puts it back in service:
// centre NAME out|in.
func setDataCentre(s *state, args []string) error {
	if s.fleet == nil {
		return errNoFleet
	}
	if err := checkArgCount(args, 2, "centre NAME out|in"); err != nil {
		return err
	}
	if args[1] != "out" && args[1] != "in" {
		return fmt.Errorf("%q is neither out nor in", args[1])
	}
	return s.fleet.SetDataCentreOut(args[0], args[1] == "out")
}

// editTable sets a value of the table to the content of a file:
// edit NAME FILE [refused]. With "refused" the entry VMs are expected to reject
// the value, so the edit is not recorded as one that must come into force.
func editTable(s *state, args []string) error {
	if s.fleet == nil {
		return errNoFleet
	}
	if len(args) < 2 || len(args) > 3 {
		return fmt.Errorf("usage: edit NAME FILE [refused]")
	}
	b, err := os.ReadFile(filepath.Join(s.workDir, args[1]))
	if err != nil {
		return err
	}
	t := time.Now()
	n := s.fleet.Platform.Edit(platform.Change{Name: args[0], Text: string(b)})
	if len(args) == 2 {
		s.fleet.Recorder.RecordEvent(history.TableEdited{Revision: n, Start: t, End: time.Now()})
	}
	return nil
}

// undoEdit undoes editTable: it sets a value of the table to its text in the
// deployment again: mend NAME.
func undoEdit(s *state, args []string) error {
	if s.fleet == nil {
		return errNoFleet
	}
	if err := checkArgCount(args, 1, "mend NAME"); err != nil {
		return err
	}
	s.fleet.Republish(args[0])
	return nil
}

// setVM sets the state of an entry VM on the platform's VM list, or removes the
// VM from the list (gone): vm ENTRY-VM live|leaving|gone.
func setVM(s *state, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: vm ENTRY-VM live|leaving|gone")
	}
	e, err := s.parseEntry(args[:1])
	if err != nil {
		return err
	}
	v := platform.EntryVM(e.Peer, s.deployment.EntryDataCentres[e.Index])
	switch args[1] {
	case "live":
	case "leaving":
		v.State = platformpb.VmState_STATE_LEAVING
	case "gone":
		v.State = platformpb.VmState_STATE_UNKNOWN
	default:
		return fmt.Errorf("unknown VM state %q", args[1])
	}
	s.fleet.Platform.SetVM(v)
	return nil
}
