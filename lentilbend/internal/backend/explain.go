package backend

// RetriesLeft returns how many retries the budget of a service allows now, and whether the
// service had a request yet. It changes nothing.
func (f *Forwarder) RetriesLeft(service string) (float64, bool) {
	if f.FleetBudget != nil {
		return f.FleetBudget.Held(f.now(), service)
	}
	if v, ok := f.budgets.m.Load(service); ok {
		return float64(v.(*budget).balance.Load()) / retryCost, true
	}
	return initialBudget / retryCost, false
}
