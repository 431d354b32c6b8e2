package cfrollout

// Waiting counts the items that wait for an engine.
func (p *Planner) Waiting() int {
	n := 0
	for _, o := range p.batches {
		n += len(o.waiting)
	}
	return n
}
