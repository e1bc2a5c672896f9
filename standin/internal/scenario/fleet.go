package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"lentilbend.example/standin/internal/fleet"
	"lentilbend.example/standin/internal/history"
)

// setService changes a service:
// service NAME instances=N slots=N queue=N time=D cold=RATE burst=N cold-for=D probes=N.
// It is meant for use before the fleet starts; servers that already run do not
// change.
func setService(s *state, args []string) error {
	p, opts := splitOptions(args)
	if err := checkArgCount(p, 1, "service NAME OPTION=VALUE..."); err != nil {
		return err
	}
	v, err := s.findService(p[0])
	if err != nil {
		return err
	}
	for _, o := range opts {
		if err := setServiceOption(v, o); err != nil {
			return err
		}
	}
	return s.publish()
}

func (s *state) findService(name string) (*fleet.Service, error) {
	for i := range s.deployment.Services {
		if s.deployment.Services[i].Name == name {
			return &s.deployment.Services[i], nil
		}
	}
	return nil, fmt.Errorf("unknown service %q", name)
}

func setServiceOption(v *fleet.Service, o option) error {
	var err error
	switch o.name {
	case "instances":
		v.Instances, err = strconv.Atoi(o.value)
	case "slots":
		v.Slots, err = strconv.Atoi(o.value)
	case "queue":
		v.Queue, err = strconv.Atoi(o.value)
	case "time":
		v.ServiceTime, err = time.ParseDuration(o.value)
	case "cold":
		v.ColdRate, err = strconv.ParseFloat(o.value, 64)
	case "burst":
		v.ColdBurst, err = strconv.ParseFloat(o.value, 64)
	case "cold-for":
		v.ColdFor, err = time.ParseDuration(o.value)
	case "probes":
		v.ProbeRate, err = strconv.ParseFloat(o.value, 64)
	default:
		return fmt.Errorf("unknown option %q", o.name)
	}
	return err
}

// setRow changes the table row with the limits of a workspace in a service:
// row WORKSPACE SERVICE rate=N burst=N weight=N limit=N.
func setRow(s *state, args []string) error {
	p, opts := splitOptions(args)
	if err := checkArgCount(p, 2, "row WORKSPACE SERVICE OPTION=VALUE..."); err != nil {
		return err
	}
	v, err := s.findService(p[1])
	if err != nil {
		return err
	}
	for i := range v.Rows {
		if v.Rows[i].Workspace != p[0] {
			continue
		}
		for _, o := range opts {
			if err := setRowOption(&v.Rows[i], o); err != nil {
				return err
			}
		}
		return s.publish()
	}
	return fmt.Errorf("workspace %q has no row in the service", p[0])
}

func setRowOption(r *fleet.Row, o option) error {
	x, err := strconv.ParseFloat(o.value, 64)
	if err != nil {
		return err
	}
	switch o.name {
	case "rate":
		r.Rate = x
	case "burst":
		r.Burst = x
	case "weight":
		r.Weight = x
	case "limit":
		r.Limit = int(x)
	default:
		return fmt.Errorf("unknown option %q", o.name)
	}
	return nil
}

// setListLag sets how late the platform's VM list shows changes, for the fleet
// started next: lag DURATION.
func setListLag(s *state, args []string) error {
	if err := checkArgCount(args, 1, "lag DURATION"); err != nil {
		return err
	}
	var err error
	s.listLag, err = time.ParseDuration(args[0])
	return err
}

// startFleet starts a platform, backend servers and N entry VMs: fleet N.
func startFleet(s *state, args []string) error {
	if err := checkArgCount(args, 1, "fleet ENTRY-VMS"); err != nil {
		return err
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	s.deployment.AddEntries(n)
	s.fleet = &fleet.Fleet{Bin: s.binDir, Deployment: s.deployment, ListLag: s.listLag, Seed: 1, FaultProxies: true}
	if err := s.fleet.Start(s.ctx); err != nil {
		return err
	}
	s.observers.Go(s.recordRevisions)
	return nil
}

// recordRevisions polls the table revision in force on each entry VM and records
// it in the history until the script ends.
func (s *state) recordRevisions() {
	for s.ctx.Err() == nil {
		for _, e := range s.fleet.Entries {
			b := time.Now()
			n, err := e.Metric(s.ctx, fleet.RevisionMetric)
			if err == nil && n > 0 {
				s.fleet.Recorder.RecordEvent(history.RevisionObserved{VM: e.Peer, Revision: uint64(n), Start: b, End: time.Now()})
			}
		}
		time.Sleep(2 * pollInterval)
	}
}

// publish publishes the changed table. Before the fleet is started it does
// nothing, since startFleet uses the changed deployment.
func (s *state) publish() error {
	if s.fleet == nil {
		return nil
	}
	s.fleet.Deployment.Services = s.deployment.Services
	s.fleet.Publish()
	return nil
}

// errNoFleet is returned by commands that need a running fleet.
var errNoFleet = errors.New("no fleet is running; use the fleet command first")

// parseEntry returns the entry VM whose number, counted from 1, is the only
// argument.
func (s *state) parseEntry(args []string) (*fleet.Entry, error) {
	if s.fleet == nil {
		return nil, errNoFleet
	}
	if err := checkArgCount(args, 1, "COMMAND ENTRY-VM"); err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return nil, err
	}
	return s.fleet.Entry(n - 1)
}

// killEntry kills the process of an entry VM: crash N.
func killEntry(s *state, args []string) error {
	e, err := s.parseEntry(args)
	if err != nil {
		return err
	}
	return e.Kill()
}

// pauseEntry suspends the process of an entry VM: pause N.
func pauseEntry(s *state, args []string) error {
	e, err := s.parseEntry(args)
	if err != nil {
		return err
	}
	return e.Pause()
}

// resumeEntry continues a suspended process: resume N.
func resumeEntry(s *state, args []string) error {
	e, err := s.parseEntry(args)
	if err != nil {
		return err
	}
	return e.Resume()
}

// shutDownEntry runs a graceful shutdown of an entry VM, which must exit with
// code 0: shutdown N.
func shutDownEntry(s *state, args []string) error {
	e, err := s.parseEntry(args)
	if err != nil {
		return err
	}
	c, err := e.Stop()
	if err == nil && c != 0 {
		return fmt.Errorf("graceful shutdown ended with exit code %d: %s", c, e.LogTail())
	}
	return err
}

// startEntry starts an entry VM that has ended and waits until all running entry
// VMs are ready: start N.
func startEntry(s *state, args []string) error {
	e, err := s.parseEntry(args)
	if err != nil {
		return err
	}
	if err := e.Start(); err != nil {
		return err
	}
	return s.fleet.WaitReady(s.ctx)
}

// cutLinks holds back all data between an entry VM and others until healLinks:
// cut N N....
func cutLinks(s *state, args []string) error {
	return s.setLinksCut(args, true)
}

// healLinks ends the effect of cutLinks; the data held back is then delivered:
// heal N N....
func healLinks(s *state, args []string) error {
	return s.setLinksCut(args, false)
}

func (s *state) setLinksCut(args []string, cut bool) error {
	if len(args) < 2 {
		return errors.New("usage: cut|heal ENTRY-VM OTHER-ENTRY-VMS")
	}
	a, err := s.parseEntry(args[:1])
	if err != nil {
		return err
	}
	for i := range args[1:] {
		b, err := s.parseEntry(args[i+1 : i+2])
		if err != nil {
			return err
		}
		s.fleet.SetPartition(a, b, cut)
	}
	return nil
}
