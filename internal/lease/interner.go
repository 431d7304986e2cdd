package lease

// interner gives values their interner in a list, in the order in which they come: lists
// that travel or are stored name each owner once.
type interner[K comparable] struct {
	values  []K
	indexes map[K]int
}

// index returns the place index a value, which it gets now if it has none.
func (p *interner[K]) index(value K) int {
	index, ok := p.indexes[value]
	if !ok {
		if p.indexes == nil {
			p.indexes = make(map[K]int)
		}
		index = len(p.values)
		p.indexes[value] = index
		p.values = append(p.values, value)
	}
	return index
}
