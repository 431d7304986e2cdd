package lease

// interner numbers distinct values in the order in which they are first seen. Lists that are sent or
// stored use it to hold each owner only once.
type interner[K comparable] struct {
	values  []K
	indexes map[K]int
}

// index returns the index of value in the list, and adds the value if it is not there yet.
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
