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

// Ready reports whether the readiness endpoint answers with status 200.
func (e *Entry) Ready(ctx context.Context) bool {
	_, err := e.get(ctx, "/readyz")
	return err == nil
}

// Call sends a request without a body to the entry VM, with key as the bearer
// token unless it is empty, and returns the status.
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

// get reads a path of the operator endpoint.
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

// Dump returns the state dump of the entry VM.
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

// Metric returns the value of a gauge, counter or untyped metric, summed over
// all label sets.
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

// clockTick is the unit of CPU times in /proc: USER_HZ is 100 on Linux.
const clockTick = 10 * time.Millisecond

// CPUTime returns the user and system CPU time that the process has used.
func (e *Entry) CPUTime() (time.Duration, error) {
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
		return 0, fmt.Errorf("fleet: malformed process status %q", s)
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

// logTailSize bounds the text that LogTail returns, in bytes.
const logTailSize = 4000

// LogTail returns the end of the process's log, or the error text if the log
// cannot be read.
func (e *Entry) LogTail() string {
	b, err := os.ReadFile(e.fleet.logFile(e.Index))
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-logTailSize):])
}

// RevisionMetric is the name of the metric that holds the revision of the table
// in force on an entry VM.
const RevisionMetric = "lentilbend_table_revision"
