package agent

import (
	"slices"

	"hemlockquay/internal/model"
	"hemlockquay/internal/ownership/grants"
	"hemlockquay/internal/platform"
)

// serviceState is a service with its record, parsed once for each version.
type serviceState struct {
	service        *model.Service
	serviceVersion uint64
	record         *model.Assignment
	recordVersion  uint64
	groups         map[uint64]*grants.Group
	// groupIDs are the groups of the record.
	groupIDs []uint64
}

// loadConfiguration takes what changed in the configuration.
func (gr *grantor) loadConfiguration() {
	revision, ready := gr.config.heldRevision()
	if !ready || revision == gr.revision {
		return
	}
	gr.revision = revision
	for _, o := range gr.config.list() {
		if err := gr.loadObject(o); err != nil {
			gr.log.Error().Err(err).Str("step", "load").Str("peer", o.Name).Msg("object left out")
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

// updateGroups gives each group its record. A group that never named this VM as a
// grantor is left out: the VM may do nothing for it. One that did is kept while
// it exists, since its grants of then may not be out.
// A group names three grantors however many VMs there are, so that each tick looks at few.
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
