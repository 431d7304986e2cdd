package agent

import (
	"slices"

	"hemlockquay/internal/model"
	"hemlockquay/internal/ownership/grants"
	"hemlockquay/internal/platform"
)

// serviceState is the grantor's state of a service. Service and record are decoded once per
// version.
type serviceState struct {
	service        *model.Service
	serviceVersion uint64
	record         *model.Assignment
	recordVersion  uint64
	groups         map[uint64]*grants.Group
	// groupIDs lists the groups of the record.
	groupIDs []uint64
}

// loadConfiguration loads the objects that changed in the configuration.
func (gr *grantor) loadConfiguration() {
	revision, ready := gr.config.heldRevision()
	if !ready || revision == gr.revision {
		return
	}
	gr.revision = revision
	for _, o := range gr.config.list() {
		if err := gr.loadObject(o); err != nil {
			gr.log.Error().Err(err).Str("step", "load").Str("peer", o.Name).Msg("cannot decode object; it is ignored")
		}
	}
}

func (gr *grantor) loadObject(o platform.Object) error {
	if o.Kind != model.KindService && o.Kind != model.KindAssignment {
		return nil
	}
	svc := gr.services[o.Name]
	if svc == nil {
		svc = &serviceState{groups: make(map[uint64]*grants.Group)}
		gr.services[o.Name] = svc
	}
	loadedVersion := svc.serviceVersion
	if o.Kind == model.KindAssignment {
		loadedVersion = svc.recordVersion
	}
	if o.Version <= loadedVersion {
		return nil
	}
	object, err := model.Decode(o.Kind, o.Name, o.Spec)
	if err != nil {
		return err
	}
	switch typed := object.(type) {
	case *model.Service:
		svc.service, svc.serviceVersion = typed, o.Version
	case *model.Assignment:
		svc.record, svc.recordVersion = typed, o.Version
	}
	if svc.service != nil && svc.record != nil {
		gr.updateGroups(svc)
	}
	return nil
}

// updateGroups passes each group its record. Groups that have never named this VM as a grantor
// are skipped, because the VM must not act for them. A group that has named it is kept as long as
// the group exists, since grants sent at that time may not have expired.
//
// A group names three grantors however many VMs there are, so each tick visits few groups.
func (gr *grantor) updateGroups(svc *serviceState) {
	now := gr.clock.Now()
	params := gr.params
	params.ChecksFences = svc.service.ChecksFences
	listed := make(map[uint64]bool, len(svc.record.Groups))
	svc.groupIDs = svc.groupIDs[:0]
	for _, rec := range svc.record.Groups {
		listed[rec.ID] = true
		svc.groupIDs = append(svc.groupIDs, rec.ID)
		if g := svc.groups[rec.ID]; g != nil {
			g.Adopt(rec, now)
		} else if slices.Contains(rec.Grantors, params.VM) {
			svc.groups[rec.ID] = grants.New(params, rec, now)
		}
	}
	var removed []groupID
	for id := range svc.groups {
		if !listed[id] {
			delete(svc.groups, id)
			removed = append(removed, groupID{svc.service.Name, id})
		}
	}
	gr.table.update(nil, removed)
}
