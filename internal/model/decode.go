package model

import (
	"fmt"
	"strings"

	"hemlockquay/internal/settings"
)

// Decode decodes and validates an object's spec, which is JSON with optional comments.
// The result is a pointer to the kind's type. Errors include the line and the field.
func Decode(kind Kind, name string, spec []byte) (any, error) {
	source := string(kind) + " " + name
	object, err := newObject(kind)
	if err != nil {
		return nil, err
	}
	if err := settings.Decode(source, spec, object); err != nil {
		return nil, err
	}
	if own := object.objectName(); own != name {
		return nil, &settings.Error{Source: source, Line: 1, Reason: fmt.Sprintf("object is stored as %q but its name is %q", name, own)}
	}
	return object, nil
}

// object is implemented by the type of each kind.
type object interface {
	settings.Checker
	objectName() string
}

func newObject(kind Kind) (object, error) {
	switch kind {
	case KindService:
		return new(Service), nil
	case KindContract:
		return new(Contract), nil
	case KindAssignment:
		return new(Assignment), nil
	case KindAssigner:
		return new(Assigner), nil
	case KindVM:
		return new(VMStatus), nil
	}
	return nil, fmt.Errorf("kind %q is not one of service, contract, assignment, assigner, vm", kind)
}

func (s *Service) objectName() string    { return s.Name }
func (c *Contract) objectName() string   { return c.Customer }
func (a *Assignment) objectName() string { return a.Service }
func (a *Assigner) objectName() string   { return a.Service }
func (v *VMStatus) objectName() string   { return v.Name }

// Check returns an error for the first invalid value.
func (a *Assignment) Check() error {
	if err := checkName("/service", a.Service); err != nil {
		return err
	}
	ids := make(map[uint64]bool, len(a.Groups))
	for i, g := range a.Groups {
		switch {
		case g.ID >= a.NextGroup:
			return settings.Invalid(groupField(i, "id"), "%d is not below nextGroup (%d)", g.ID, a.NextGroup)
		case ids[g.ID]:
			return settings.Invalid(groupField(i, "id"), "duplicate group ID %d", g.ID)
		case len(g.Slices) == 0:
			return settings.Invalid(groupField(i, "slices"), "the group has no slices")
		case g.Owner.Name == "" || g.Owner.Name == g.Standby.Name || g.Owner.Name == g.Witness.Name:
			return settings.Invalid(groupField(i, "owner"), "%q is empty or also the standby or witness", g.Owner.Name)
		}
		ids[g.ID] = true
	}
	return nil
}

func groupField(i int, field string) string { return fmt.Sprintf("/groups/%d/%s", i, field) }

// Check returns an error for the first invalid value.
func (a *Assigner) Check() error { return checkName("/service", a.Service) }

// Check returns an error for the first invalid value.
func (v *VMStatus) Check() error {
	if strings.TrimSpace(v.Name) == "" {
		return settings.Invalid("/name", "empty")
	}
	return nil
}
