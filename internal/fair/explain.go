package fair

// Explanation is what a Gate would do with a request that arrives now.
type Explanation struct {
	// Admits says that the request would run at once. Otherwise it would be queued,
	// at the cost of another one if QueueFull.
	Admits bool
	// QueueFull says that one request of the workspace that is furthest over its share
	// would be refused for it.
	QueueFull bool
	// Limit is how many requests of this VM may run at once.
	Limit         int
	Running       int
	Waiting       int
	QueueCapacity int
}

// Explain returns what the gate would do with a request that arrives now. It changes
// nothing.
func (g *Gate) Explain() Explanation {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := Explanation{Limit: g.limit.current(), Running: g.running, Waiting: g.waiting}
	e.QueueCapacity = max(minQueueCapacity, queueCapacityFactor*e.Limit)
	e.Admits = g.running < e.Limit && g.waiting == 0
	e.QueueFull = g.waiting >= e.QueueCapacity
	return e
}
