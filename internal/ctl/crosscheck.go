package ctl

import (
	"fmt"
	"strings"

	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/settings"
)

// CrossCheck checks an object against the other stored objects. It rejects a
// contract whose token belongs to another customer, because VMs would not put such
// a contract into force. A contract that names a service which is not stored only
// gives a warning, as contracts and services may be applied in any order; for the
// same reason deleting a service that contracts name is only warned of.
func CrossCheck(o platform.Object, stored []platform.Object) (warnings []string, err error) {
	if o.Kind != model.KindContract {
		return nil, nil
	}
	mine, err := decodeContract(o)
	if err != nil {
		return nil, err
	}
	services := make(map[string]bool)
	for _, other := range stored {
		if other.Kind == model.KindService {
			services[other.Name] = true
		}
		if other.Kind != model.KindContract || other.Name == o.Name {
			continue
		}
		if theirs, err := decodeContract(other); err == nil && strings.EqualFold(theirs.TokenSHA256, mine.TokenSHA256) {
			return nil, &settings.Error{Source: "contract " + o.Name, Line: 1, Field: "/tokenSHA256",
				Reason: fmt.Sprintf("customer %s holds this token", other.Name)}
		}
	}
	for _, a := range mine.Services {
		if !services[a.Service] {
			warnings = append(warnings, fmt.Sprintf("contract %s refers to service %s, which is not stored", o.Name, a.Service))
		}
	}
	return warnings, nil
}

func decodeContract(o platform.Object) (*model.Contract, error) {
	decoded, err := model.Decode(o.Kind, o.Name, o.Spec)
	if err != nil {
		return nil, err
	}
	return decoded.(*model.Contract), nil
}

// ContractsUsing returns the names of the contracts that include the service.
func ContractsUsing(service string, stored []platform.Object) []string {
	var out []string
	for _, o := range stored {
		if o.Kind != model.KindContract {
			continue
		}
		if c, err := decodeContract(o); err == nil {
			if _, named := c.Allowance(service); named {
				out = append(out, o.Name)
			}
		}
	}
	return out
}
