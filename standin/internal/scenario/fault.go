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

// backends returns the backend servers that a text stands for: "all", a
// service, "SERVICE/NUMBER" from 1, or "centre/NAME".
func (s *state) backends(text string) ([]*backend.Server, error) {
	if s.fleet == nil {
		return nil, errNoFleet
	}
	first, rest, _ := strings.Cut(text, "/")
	count := map[string]int{}
	var bs []*backend.Server
	for _, b := range s.fleet.Backends {
		count[b.Service]++
		switch {
		case text == "all", text == b.Service:
			bs = append(bs, b)
		case first == "centre" && rest == b.DataCentre:
			bs = append(bs, b)
		case first == b.Service && rest == strconv.Itoa(count[b.Service]):
			bs = append(bs, b)
		}
	}
	if len(bs) == 0 {
		return nil, fmt.Errorf("no backend server is %q", text)
	}
	return bs, nil
}

// setBackend changes how backend servers behave: backend WHICH MODE....
func setBackend(s *state, args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("usage: backend WHICH MODE")
	}
	bs, err := s.backends(args[0])
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

// leave marks backend servers as leaving on the platform's VM list, or back as
// live: leave WHICH [back].
func leave(s *state, args []string) error {
	if len(args) == 0 || len(args) > 2 {
		return fmt.Errorf("usage: leave WHICH [back]")
	}
	bs, err := s.backends(args[0])
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
	s.fleet.Recorder.RecordEvent(history.ServersWithdrawn{Servers: as, At: time.Now().Add(s.lag)})
	return nil
}

// setPlatform changes how the platform answers all entry VMs or one:
// platform [N] MODE....
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

// withdraw takes the key of a workspace out of the table: withdraw WORKSPACE.
func withdraw(s *state, args []string) error {
	return s.setKey(args, true)
}

// give puts a withdrawn key back: give WORKSPACE.
func give(s *state, args []string) error {
	return s.setKey(args, false)
}

func (s *state) setKey(args []string, withdrawn bool) error {
	if s.fleet == nil {
		return errNoFleet
	}
	if err := want(args, 1, "withdraw|give WORKSPACE"); err != nil {
		return err
	}
	return s.fleet.SetKeyWithdrawn(args[0], withdrawn)
}

// setCentre takes a data centre out of service or in: centre NAME out|in.
func setCentre(s *state, args []string) error {
	if s.fleet == nil {
		return errNoFleet
	}
	if err := want(args, 2, "centre NAME out|in"); err != nil {
		return err
	}
	if args[1] != "out" && args[1] != "in" {
		return fmt.Errorf("%q is neither out nor in", args[1])
	}
	return s.fleet.SetDataCentreOut(args[0], args[1] == "out")
}

// edit sets a value of the table: edit NAME FILE [refused], where "refused"
// says that the table is not valid with it.
func edit(s *state, args []string) error {
	if s.fleet == nil {
		return errNoFleet
	}
	if len(args) < 2 || len(args) > 3 {
		return fmt.Errorf("usage: edit NAME FILE [refused]")
	}
	b, err := os.ReadFile(filepath.Join(s.dir, args[1]))
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

// mend sets a value to what it was before edit: mend NAME.
func mend(s *state, args []string) error {
	if s.fleet == nil {
		return errNoFleet
	}
	if err := want(args, 1, "mend NAME"); err != nil {
		return err
	}
	s.fleet.Republish(args[0])
	return nil
}

// setVM changes an entry VM's state on the platform's list:
// vm N live|leaving|gone.
func setVM(s *state, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: vm ENTRY-VM live|leaving|gone")
	}
	e, err := s.entry(args[:1])
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
		return fmt.Errorf("no state %q", args[1])
	}
	s.fleet.Platform.SetVM(v)
	return nil
}
