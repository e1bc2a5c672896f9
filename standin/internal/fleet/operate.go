package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Ready reads the process's readiness.
func (e *Entry) Ready(ctx context.Context) bool {
	_, err := e.get(ctx, "/readyz")
	return err == nil
}

// Call sends a call with a key, if one is given, and returns the status.
func (e *Entry) Call(ctx context.Context, method, path, key string) (int, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.Caller.String()+path, nil)
	if err != nil {
		return 0, fmt.Errorf("fleet: %w", err)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	a, err := e.client.Do(r)
	if err != nil {
		return 0, fmt.Errorf("fleet: %w", err)
	}
	return a.StatusCode, a.Body.Close()
}

func (e *Entry) get(ctx context.Context, path string) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Operator.String()+path, nil)
	if err != nil {
		return nil, err
	}
	a, err := e.client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return nil, err
	}
	if a.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("fleet: %s: status %d", path, a.StatusCode)
	}
	return b, nil
}

// Dump reads the process's state.
func (e *Entry) Dump(ctx context.Context) (map[string]any, error) {
	b, err := e.get(ctx, "/dump")
	if err != nil {
		return nil, err
	}
	d := map[string]any{}
	if err := json.Unmarshal(b, &d); err != nil {
		return nil, fmt.Errorf("fleet: dump: %w", err)
	}
	return d, nil
}

// Metric returns the sum of a metric's values over its labels.
func (e *Entry) Metric(ctx context.Context, name string) (float64, error) {
	b, err := e.get(ctx, "/metrics")
	if err != nil {
		return 0, err
	}
	p := expfmt.NewTextParser(model.UTF8Validation)
	fs, err := p.TextToMetricFamilies(strings.NewReader(string(b)))
	if err != nil {
		return 0, fmt.Errorf("fleet: metrics: %w", err)
	}
	f, ok := fs[name]
	if !ok {
		return 0, fmt.Errorf("fleet: no metric %q", name)
	}
	sum := 0.0
	for _, m := range f.GetMetric() {
		sum += m.GetGauge().GetValue() + m.GetCounter().GetValue() + m.GetUntyped().GetValue()
	}
	return sum, nil
}

// clockTick is the unit of processor times in /proc.
const clockTick = 10 * time.Millisecond

// Processor returns the processor time that the process has used.
func (e *Entry) Processor() (time.Duration, error) {
	e.mu.Lock()
	p := e.cmd.Process.Pid
	e.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p))
	if err != nil {
		return 0, fmt.Errorf("fleet: %w", err)
	}
	s := string(b)
	f := strings.Fields(s[strings.LastIndex(s, ")")+1:])
	if len(f) < 13 {
		return 0, fmt.Errorf("fleet: odd process state %q", s)
	}
	u, err := strconv.Atoi(f[11])
	if err != nil {
		return 0, fmt.Errorf("fleet: %w", err)
	}
	k, err := strconv.Atoi(f[12])
	if err != nil {
		return 0, fmt.Errorf("fleet: %w", err)
	}
	return time.Duration(u+k) * clockTick, nil
}

// shownLog is how much of a log is shown, in bytes.
const shownLog = 4000

// LastLog returns the end of the process's log.
func (e *Entry) LastLog() string {
	b, err := os.ReadFile(e.fleet.logFile(e.Index))
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-shownLog):])
}

// RevisionMetric tells the revision of the table that is in force.
const RevisionMetric = "lentilbend_table_revision"
