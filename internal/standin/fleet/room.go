package fleet

// enter takes room for a request. It returns false if there is none.
func (t *Target) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Room > 0 && t.inRoom >= t.Room {
		return false
	}
	t.inRoom++
	return true
}

func (t *Target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inRoom--
}
