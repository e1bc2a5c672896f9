package table_test

import (
	"fmt"
	"strings"
	"testing"

	"lentilbend.example/internal/table"
)

// tableValues returns the values of a table whose services all have the same number
// of servers and a row for each workspace.
func tableValues(services, servers, workspaces int) []table.Value {
	var centres, routes, spaces strings.Builder
	for i := range 6 {
		fmt.Fprintf(&centres, "[[DataCentre]]\nName = \"dc-%d\"\nRegion = \"r-%d\"\nState = \"In\"\n", i, i%2)
	}
	for i := range workspaces {
		d := table.NewDigest(fmt.Sprint(i))
		fmt.Fprintf(&spaces, "[[Workspace]]\nName = \"w-%d\"\nKeyDigests = [%q]\n", i, d)
	}
	var vs []table.Value
	for i := range services {
		n := fmt.Sprintf("service-%d", i)
		fmt.Fprintf(&routes, "[[Route]]\nPrefix = \"/%s/\"\nService = %q\nKind = \"get\"\n", n, n)
		fmt.Fprintf(&routes, "Idempotent = true\nOpen = false\nTimeout = \"2s\"\n")
		vs = append(vs, table.Value{Name: table.ServicesPrefix + n, Text: serviceText(i, servers)})
		vs = append(vs, table.Value{Name: table.RowsPrefix + n, Text: rowsText(workspaces)})
	}
	return append(vs,
		table.Value{Name: table.DataCentresValue, Text: centres.String()},
		table.Value{Name: table.RoutesValue, Text: routes.String()},
		table.Value{Name: table.WorkspacesValue, Text: spaces.String()})
}

func serviceText(n, servers int) string {
	var b strings.Builder
	b.WriteString("Slots = 6\nConnections = 200\nColdRate = 10.0\nColdBurst = 2.0\nColdFor = \"30s\"\n")
	for i := range servers {
		fmt.Fprintf(&b, "[[Server]]\nAddress = \"10.%d.%d.%d:80\"\nDataCentre = \"dc-%d\"\n", n, i/250, i%250+1, i%6)
	}
	return b.String()
}

func rowsText(workspaces int) string {
	var b strings.Builder
	for i := range workspaces {
		fmt.Fprintf(&b, "[[Row]]\nWorkspace = \"w-%d\"\nWeight = 1.0\nRate = 100.0\nBurst = 200.0\nLimit = 50\n", i)
	}
	return b.String()
}

func BenchmarkParse(b *testing.B) {
	for _, s := range []struct{ services, servers int }{{4, 9}, {16, 10}, {16, 38}, {16, 76}} {
		b.Run(fmt.Sprintf("Services=%d/Servers=%d", s.services, s.services*s.servers), func(b *testing.B) {
			vs := tableValues(s.services, s.servers, 8)
			n := 0
			for _, v := range vs {
				n += len(v.Text)
			}
			b.ReportMetric(float64(n), "text-bytes")
			b.ReportAllocs()
			for b.Loop() {
				if _, fs := table.Parse(1, vs); len(fs) > 0 {
					b.Fatal(fs)
				}
			}
		})
	}
}
