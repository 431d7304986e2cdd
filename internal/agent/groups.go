package agent

import (
	"slices"

	"hemlockquay/internal/model"
	"hemlockquay/internal/ownership/grants"
	"hemlockquay/internal/platform"
)

// heldService is a service with its record, parsed once for each version.
type heldService struct {
	service        *model.Service
	serviceVersion uint64
	record         *model.Assignment
	recordVersion  uint64
	groups         map[uint64]*grants.Group
	// ids are the groups of the record.
	ids []uint64
}

// load takes what changed in the configuration.
func (d *grantorDuty) load() {
	revision, ready := d.config.state()
	if !ready || revision == d.revision {
		return
	}
	d.revision = revision
	for _, o := range d.config.list() {
		if err := d.loadObject(o); err != nil {
			d.log.Error().Err(err).Str("step", "load").Str("peer", o.Name).Msg("object left out")
		}
	}
}

func (d *grantorDuty) loadObject(o platform.Object) error {
	if o.Kind != model.KindService && o.Kind != model.KindAssignment {
		return nil
	}
	h := d.services[o.Name]
	if h == nil {
		h = &heldService{groups: make(map[uint64]*grants.Group)}
		d.services[o.Name] = h
	}
	known := h.serviceVersion
	if o.Kind == model.KindAssignment {
		known = h.recordVersion
	}
	if o.Version <= known {
		return nil
	}
	object, err := model.Decode(o.Kind, o.Name, o.Spec)
	if err != nil {
		return err
	}
	switch typed := object.(type) {
	case *model.Service:
		h.service, h.serviceVersion = typed, o.Version
	case *model.Assignment:
		h.record, h.recordVersion = typed, o.Version
	}
	if h.service != nil && h.record != nil {
		d.adopt(h)
	}
	return nil
}

// adopt gives each group its record. A group that never named this VM as a
// grantor is left out: the VM may do nothing for it. One that did is kept while
// it exists, since its grants of then may not be out.
// A group names three grantors however many VMs there are, so that each tick looks at few.
func (d *grantorDuty) adopt(h *heldService) {
	now := d.clock.Now()
	params := d.params
	params.ChecksFences = h.service.ChecksFences
	listed := make(map[uint64]bool, len(h.record.Groups))
	h.ids = h.ids[:0]
	for _, rec := range h.record.Groups {
		listed[rec.ID] = true
		h.ids = append(h.ids, rec.ID)
		if g := h.groups[rec.ID]; g != nil {
			g.Adopt(rec, now)
		} else if slices.Contains(rec.Grantors, params.VM) {
			h.groups[rec.ID] = grants.New(params, rec, now)
		}
	}
	var gone []groupID
	for id := range h.groups {
		if !listed[id] {
			delete(h.groups, id)
			gone = append(gone, groupID{h.service.Name, id})
		}
	}
	d.table.update(nil, gone)
}
