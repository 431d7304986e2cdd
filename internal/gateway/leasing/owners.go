package leasing

import "hemlockquay/internal/lease"

// firstOwners returns the targets among which the keys are dealt for the first
// time, or nil while more may still come.
func (c *candidate) firstOwners() []lease.Owner {
	view := c.TargetDirectory.View()
	now := c.Clock.Now()
	list := view.ByService[c.service]
	if len(list) == 0 {
		c.listSeen = 0
		return nil
	}
	if c.listSeen == 0 {
		c.listSeen = now
	}
	if view.Targets.Revision != c.listRevision {
		c.listRevision, c.listChanged = view.Targets.Revision, now
	}
	if now-c.listChanged < listSettles && now-c.listSeen < listMost {
		return nil
	}
	return c.owners()
}

// owners returns the targets that may own keys.
func (c *candidate) owners() []lease.Owner {
	list := c.TargetDirectory.View().ByService[c.service]
	out := make([]lease.Owner, len(list))
	for i, t := range list {
		out[i] = lease.Owner{ID: t.ID, Born: t.Born, Addr: t.Addr}
	}
	return out
}
