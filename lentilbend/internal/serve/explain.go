package serve

import "lentilbend.example/lentilbend/internal/explain"

// newExplainer returns the component that explains requests to operators.
func (p *Process) newExplainer() *explain.Explainer {
	return &explain.Explainer{
		Table:   p.table,
		Servers: p.services,
		Retries: p.forwarder,
		Ready:   p.ready,
	}
}
