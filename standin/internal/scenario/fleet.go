package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"lentilbend.example/standin/internal/fleet"
	"lentilbend.example/standin/internal/history"
)

// setService changes a service before the fleet starts:
// service NAME instances=N slots=N queue=N time=D cold=RATE burst=N cold-for=D probes=N.
func setService(s *state, args []string) error {
	p, os := options(args)
	if err := want(p, 1, "service NAME OPTION=VALUE..."); err != nil {
		return err
	}
	v, err := s.service(p[0])
	if err != nil {
		return err
	}
	for _, o := range os {
		if err := serviceOption(v, o); err != nil {
			return err
		}
	}
	return s.publish()
}

func (s *state) service(name string) (*fleet.Service, error) {
	for i := range s.deployment.Services {
		if s.deployment.Services[i].Name == name {
			return &s.deployment.Services[i], nil
		}
	}
	return nil, fmt.Errorf("no service %q", name)
}

func serviceOption(v *fleet.Service, o option) error {
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
		return fmt.Errorf("no option %q", o.name)
	}
	return err
}

// setRow changes the row of a workspace in a service:
// row WORKSPACE SERVICE rate=N burst=N weight=N limit=N.
func setRow(s *state, args []string) error {
	p, os := options(args)
	if err := want(p, 2, "row WORKSPACE SERVICE OPTION=VALUE..."); err != nil {
		return err
	}
	v, err := s.service(p[1])
	if err != nil {
		return err
	}
	for i := range v.Rows {
		if v.Rows[i].Workspace != p[0] {
			continue
		}
		for _, o := range os {
			if err := rowOption(&v.Rows[i], o); err != nil {
				return err
			}
		}
		return s.publish()
	}
	return fmt.Errorf("no workspace %q", p[0])
}

func rowOption(r *fleet.Row, o option) error {
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
		return fmt.Errorf("no option %q", o.name)
	}
	return nil
}

// setLag sets how old the platform's VM list is: lag D.
func setLag(s *state, args []string) error {
	if err := want(args, 1, "lag DURATION"); err != nil {
		return err
	}
	var err error
	s.lag, err = time.ParseDuration(args[0])
	return err
}

// startFleet starts entry VMs with all that they need: fleet N.
func startFleet(s *state, args []string) error {
	if err := want(args, 1, "fleet ENTRY-VMS"); err != nil {
		return err
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	s.deployment.AddEntries(n)
	s.fleet = &fleet.Fleet{Bin: s.bin, Deployment: s.deployment, ListLag: s.lag, Seed: 1, FaultProxies: true}
	if err := s.fleet.Start(s.ctx); err != nil {
		return err
	}
	s.watch.Go(s.look)
	return nil
}

// look records the revision in force at each VM until the script ends.
func (s *state) look() {
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

// publish puts the table as changed in force once the fleet runs.
func (s *state) publish() error {
	if s.fleet == nil {
		return nil
	}
	s.fleet.Deployment.Services = s.deployment.Services
	s.fleet.Publish()
	return nil
}

// errNoFleet means that a command came before the fleet.
var errNoFleet = errors.New("no fleet was started")

// entry returns the entry VM with a number from 1.
func (s *state) entry(args []string) (*fleet.Entry, error) {
	if s.fleet == nil {
		return nil, errNoFleet
	}
	if err := want(args, 1, "COMMAND ENTRY-VM"); err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return nil, err
	}
	return s.fleet.Entry(n - 1)
}

// crash ends an entry VM without notice: crash N.
func crash(s *state, args []string) error {
	e, err := s.entry(args)
	if err != nil {
		return err
	}
	return e.Kill()
}

// pause stops an entry VM's process: pause N.
func pause(s *state, args []string) error {
	e, err := s.entry(args)
	if err != nil {
		return err
	}
	return e.Pause()
}

// resume lets a paused process go on: resume N.
func resume(s *state, args []string) error {
	e, err := s.entry(args)
	if err != nil {
		return err
	}
	return e.Resume()
}

// shutdown runs a planned stop of an entry VM: shutdown N.
func shutdown(s *state, args []string) error {
	e, err := s.entry(args)
	if err != nil {
		return err
	}
	c, err := e.Stop()
	if err == nil && c != 0 {
		return fmt.Errorf("ended with code %d: %s", c, e.LogTail())
	}
	return err
}

// start starts an ended entry VM again and waits until it is ready: start N.
func start(s *state, args []string) error {
	e, err := s.entry(args)
	if err != nil {
		return err
	}
	if err := e.Start(); err != nil {
		return err
	}
	return s.fleet.WaitReady(s.ctx)
}

// cut loses all that goes between an entry VM and others: cut N N....
func cut(s *state, args []string) error {
	return s.setCut(args, true)
}

// heal ends a cut; what was on its way comes late: heal N N....
func heal(s *state, args []string) error {
	return s.setCut(args, false)
}

func (s *state) setCut(args []string, cut bool) error {
	if len(args) < 2 {
		return errors.New("usage: cut|heal ENTRY-VM OTHER-ENTRY-VMS")
	}
	a, err := s.entry(args[:1])
	if err != nil {
		return err
	}
	for i := range args[1:] {
		b, err := s.entry(args[i+1 : i+2])
		if err != nil {
			return err
		}
		s.fleet.SetPartition(a, b, cut)
	}
	return nil
}
