package table

import "slices"

// SetsPriorities reports whether the routes differ in priority. It returns false
// for a table with workspaces, whose weights divide an overloaded service instead.
func (t *Table) SetsPriorities() bool {
	return t.setsPriorities
}

// Priorities returns the priorities of the routes that lead to a service, in
// ascending order and without duplicates.
func (t *Table) Priorities(service string) []int {
	var ps []int
	for i := range t.Routes {
		if t.Routes[i].leadsTo(service) {
			ps = append(ps, t.Routes[i].Priority)
		}
	}
	slices.Sort(ps)
	return slices.Compact(ps)
}

// leadsTo reports whether requests of the route may go to the service.
func (r *Route) leadsTo(service string) bool {
	return r.Service == service ||
		slices.ContainsFunc(r.Split, func(s SplitTarget) bool { return s.Service == service })
}

// findPriorities returns the result of SetsPriorities.
func (t *Table) findPriorities() bool {
	if len(t.Workspaces) > 0 {
		return false
	}
	return slices.ContainsFunc(t.Routes, func(r Route) bool { return r.Priority != t.Routes[0].Priority })
}
