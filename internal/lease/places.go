package lease

// places gives values their places in a list, in the order in which they come: lists
// that travel or are stored name each owner once.
type places[K comparable] struct {
	list []K
	at   map[K]int
}

// of returns the place of a value, which it gets now if it has none.
func (p *places[K]) of(value K) int {
	place, ok := p.at[value]
	if !ok {
		if p.at == nil {
			p.at = make(map[K]int)
		}
		place = len(p.list)
		p.at[value] = place
		p.list = append(p.list, value)
	}
	return place
}
