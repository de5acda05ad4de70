package engine

// Gate delays effects until the batches that they require are in the store. The driver passes every effect and every
// answer of the store through one. The zero value is ready for use. It is not safe for concurrent use.
type Gate struct {
	stored  Batch
	waiting []Effect // in the order of the batches that they require
}

// Pass appends to into the effects that may be carried out now, in order, and keeps the others.
func (g *Gate) Pass(into, effects []Effect) []Effect {
	for _, f := range effects {
		switch v, ok := f.(*Discard); {
		case ok:
			g.Failed(v.Batch)
		case f.RequiredBatch() <= g.stored:
			into = append(into, f)
		default:
			g.waiting = append(g.waiting, f)
		}
	}
	return into
}

// Stored appends to into the effects that waited for the batches up to b.
func (g *Gate) Stored(into []Effect, b Batch) []Effect {
	g.stored = max(g.stored, b)
	n := 0
	for n < len(g.waiting) && g.waiting[n].RequiredBatch() <= b {
		n++
	}
	into = append(into, g.waiting[:n]...)
	rest := copy(g.waiting, g.waiting[n:])
	clear(g.waiting[rest:])
	g.waiting = g.waiting[:rest]
	return into
}

// Failed drops the effects that wait for a batch that is not in the store and never will be.
func (g *Gate) Failed(b Batch) {
	kept := g.waiting[:0]
	for _, f := range g.waiting {
		if f.RequiredBatch() != b {
			kept = append(kept, f)
		}
	}
	clear(g.waiting[len(kept):])
	g.waiting = kept
}
