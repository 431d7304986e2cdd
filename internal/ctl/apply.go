// Package ctl is what operators do: read, check, compare and write objects, and
// ask the VMs what they did.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/settings"
)

// Applied is the outcome of writing one object.
type Applied struct {
	Kind    model.Kind `json:"kind"`
	Name    string     `json:"name"`
	Version uint64     `json:"version"`
	// Changed is false where the stored object was the same already.
	Changed bool `json:"changed"`
}

// named is what every object's file must hold.
type named interface {
	settings.Checker
}

// ReadFile reads and checks an object of the kind from a file.
func ReadFile(kind model.Kind, file string) (platform.Object, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return platform.Object{}, fmt.Errorf("read %s: %w", kind, err)
	}
	var typed named
	switch kind {
	case model.KindService:
		typed = new(model.Service)
	case model.KindContract:
		typed = new(model.Contract)
	default:
		return platform.Object{}, fmt.Errorf("operators write contracts and services, not %s", kind)
	}
	if err := settings.Decode(file, text, typed); err != nil {
		return platform.Object{}, err
	}
	spec, err := json.Marshal(typed)
	if err != nil {
		return platform.Object{}, fmt.Errorf("encode %s: %w", kind, err)
	}
	return platform.Object{Kind: kind, Name: nameOf(typed), Spec: spec}, nil
}

func nameOf(typed named) string {
	switch o := typed.(type) {
	case *model.Service:
		return o.Name
	case *model.Contract:
		return o.Customer
	}
	return ""
}

// Apply writes the object over the version that is stored now.
func Apply(ctx context.Context, s platform.Store, o platform.Object) (Applied, error) {
	out := Applied{Kind: o.Kind, Name: o.Name}
	current, err := s.Get(ctx, o.ID())
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return out, err
	}
	if err == nil && string(current.Spec) == string(o.Spec) {
		out.Version = current.Version
		return out, nil
	}
	o.Version = current.Version
	o.Writer = fmt.Sprintf("hqctl-%d-%d", os.Getpid(), time.Now().UnixNano())
	written, err := platform.Write(ctx, s, o)
	if err != nil {
		return out, err
	}
	out.Version, out.Changed = written.Version, true
	return out, nil
}
