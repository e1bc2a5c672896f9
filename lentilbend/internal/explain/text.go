package explain

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText writes an explanation as text.
func (x *Explanation) WriteText(w io.Writer) error {
	var b strings.Builder
	x.Route.writeText(&b, x.Method)
	fmt.Fprintf(&b, "VM: %s, table of revision %d\n", orText(x.NotReady, "ready", "not ready: "), x.Revision)
	if x.ProbesBefore {
		b.WriteString("Before a choice, the best servers without a current load report are probed; here none is.\n")
	}
	for i := range x.Services {
		x.Services[i].writeText(&b)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// orText returns prefix and s, or empty if s is empty.
func orText(s, empty, prefix string) string {
	if s == "" {
		return empty
	}
	return prefix + s
}

func (r Route) writeText(b *strings.Builder, method string) {
	fmt.Fprintf(b, "Request: %s\n", orText(method, "(other method)", ""))
	fmt.Fprintf(b, "Route: prefix %s, %s, kind %q, priority %d", r.Prefix, orText(r.Host, "any host", "host "), r.Kind, r.Priority)
	if r.Idempotent {
		b.WriteString(", idempotent")
	}
	if r.NeedsKey {
		b.WriteString(", needs a key")
	}
	if r.Objective > 0 {
		fmt.Fprintf(b, ", objective %s", r.Objective)
	}
	fmt.Fprintf(b, ", timeout %s", r.Timeout)
	if r.Attempts > 0 {
		fmt.Fprintf(b, ", at most %d attempts", r.Attempts)
	}
	b.WriteByte('\n')
}

func (s *Service) writeText(b *strings.Builder) {
	fmt.Fprintf(b, "\nService %s, weight %.3g\n", s.Name, s.Weight)
	fmt.Fprintf(b, "  Decision: %s\n", s.sentence())
	if t := s.Table; t != nil {
		fmt.Fprintf(b, "  Table: servers %d, slots %d, connections %d, cold rate %.3g/s", t.Servers, t.Slots, t.Connections, t.ColdRate)
		if len(t.Out) > 0 {
			fmt.Fprintf(b, ", out of service: %s", strings.Join(t.Out, ", "))
		}
		b.WriteByte('\n')
	}
	if s.Choice == nil {
		return
	}
	fmt.Fprintf(b, "  Gate: %d running (limit %d), %d waiting (limit %d)\n", s.Gate.Running, s.Gate.Limit, s.Gate.Waiting, s.Gate.QueueCapacity)
	fmt.Fprintf(b, "  Retry budget: %.3g left", s.Retries.Left)
	if s.Retries.Unused {
		b.WriteString(" (no request yet)")
	}
	b.WriteByte('\n')
	s.Choice.writeText(b)
}

func (c *Choice) writeText(b *strings.Builder) {
	known := "measured for all kinds or assumed"
	if c.KindKnown {
		known = "measured for this kind"
	}
	fmt.Fprintf(b, "  Choice: policy %s, usual time %s (%s)\n", c.Policy, c.UsualTime, known)
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "  use\treason\texpected\tserver\tname\tdata centre\trunning\tqueued\tslots\tpace\tage\tin flight\tslowness\tfailures\tphase\tends in")
	for _, v := range c.Servers {
		v.writeText(t)
	}
	_ = t.Flush()
}

func (v Server) writeText(w io.Writer) {
	report := "-\t-\t-\t-\t-"
	if r := v.Report; r != nil {
		report = fmt.Sprintf("%d\t%d\t%d\t%.3g\t%s", r.Running, r.Queued, r.Slots, r.Pace, r.Age)
	}
	ends := "-"
	if v.EndsIn > 0 {
		ends = v.EndsIn.String()
	}
	_, _ = fmt.Fprintf(w, "  %s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%.3g\t%.3g\t%s\t%s\n", v.Use, orText(string(v.Reason), "-", ""), v.Expected,
		v.Address, orText(v.Name, "-", ""), v.DataCentre, report, v.InFlight, v.Slowness, v.Failures, v.Phase, ends)
}
