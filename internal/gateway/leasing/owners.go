package leasing

import "hemlockquay/internal/lease"

// initialOwners returns the targets to which the keys are assigned for the first time, or nil while
// more targets may still be listed.
func (c *candidate) initialOwners() []lease.Owner {
	view := c.TargetDirectory.View()
	now := c.Clock.Now()
	list := view.ByService[c.service]
	if len(list) == 0 {
		c.targetsSeenAt = 0
		return nil
	}
	if c.targetsSeenAt == 0 {
		c.targetsSeenAt = now
	}
	if view.Targets.Revision != c.targetsRevision {
		c.targetsRevision, c.targetsChangedAt = view.Targets.Revision, now
	}
	if now-c.targetsChangedAt < targetListSettleTime && now-c.targetsSeenAt < maxTargetListWait {
		return nil
	}
	return c.eligibleOwners()
}

// eligibleOwners returns the targets that may own keys. Cold targets may only if there are no others: the
// requests for the keys of an owner come from all VMs, which would overrun it.
func (c *candidate) eligibleOwners() []lease.Owner {
	list := c.TargetDirectory.View().ByService[c.service]
	owners := make([]lease.Owner, 0, len(list))
	var cold []lease.Owner
	for _, t := range list {
		o := lease.Owner{ID: t.ID, Born: t.Born, Addr: t.Addr}
		if c.TargetDirectory.Warming(t.ID) {
			cold = append(cold, o)
		} else {
			owners = append(owners, o)
		}
	}
	if len(owners) == 0 {
		return cold
	}
	return owners
}
