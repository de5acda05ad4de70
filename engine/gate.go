package engine

// Gate keeps effects until the batches that they need are in the store. The zero value is ready for use. It is not safe
// for concurrent use: the driver puts every effect and every answer of the store through one.
type Gate struct {
	stored Batch
	held   []Effect // in order of the batches that they need
}

// Pass returns those of the effects that may be carried out now, in order, behind into; the others are kept.
func (g *Gate) Pass(into, effects []Effect) []Effect {
	for _, f := range effects {
		switch v, ok := f.(*Discard); {
		case ok:
			g.Failed(v.Batch)
		case f.RequiredBatch() <= g.stored:
			into = append(into, f)
		default:
			g.held = append(g.held, f)
		}
	}
	return into
}

// HasStore returns, behind into, what waited for the batches up to this one.
func (g *Gate) Stored(into []Effect, b Batch) []Effect {
	g.stored = max(g.stored, b)
	n := 0
	for n < len(g.held) && g.held[n].RequiredBatch() <= b {
		n++
	}
	into = append(into, g.held[:n]...)
	rest := copy(g.held, g.held[n:])
	clear(g.held[rest:])
	g.held = g.held[:rest]
	return into
}

// Failed drops what waits for a batch that is not in the store and never will be.
func (g *Gate) Failed(b Batch) {
	kept := g.held[:0]
	for _, f := range g.held {
		if f.RequiredBatch() != b {
			kept = append(kept, f)
		}
	}
	clear(g.held[len(kept):])
	g.held = kept
}
