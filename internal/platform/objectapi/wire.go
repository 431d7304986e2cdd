// Package objectapi is a client of the platform's object API over HTTP.
//
// The protocol follows the conventions of the Kubernetes API for one custom resource:
// metadata.resourceVersion is the expected version of a write, status 409 reports a
// conflict, 410 a watch from too old a revision, and a watch is a stream of JSON events
// with bookmarks.
package objectapi

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
)

// Paths and names in the API.
const (
	APIVersion  = "hemlockquay.example/v1"
	ObjectsPath = "/apis/hemlockquay.example/v1/quayobjects"
	VMsPath     = "/apis/platform.example/v1/vms"
	ItemKind    = "QuayObject"
	// WriterAnnotation holds the tag of the write that produced the version.
	WriterAnnotation = "hemlockquay.example/writer"
)

// Event types in the wire format.
const (
	Added    = "ADDED"
	Modified = "MODIFIED"
	Deleted  = "DELETED"
	Bookmark = "BOOKMARK"
	Failure  = "ERROR"
)

// Metadata is the metadata of an item or a list.
type Metadata struct {
	Name            string            `json:"name,omitempty"`
	ResourceVersion string            `json:"resourceVersion,omitempty"`
	Annotations     map[string]string `json:"annotations,omitempty"`
}

// Item is the wire format of one object.
type Item struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   Metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
}

// List is the wire format of a list of objects.
type List struct {
	APIVersion string   `json:"apiVersion"`
	Kind       string   `json:"kind"`
	Metadata   Metadata `json:"metadata"`
	Items      []Item   `json:"items"`
}

// WatchEvent is one line of a watch.
type WatchEvent struct {
	Type   string `json:"type"`
	Object Item   `json:"object"`
}

// VMList is the wire format of the platform's list of VMs.
type VMList struct {
	Items []platform.VM `json:"items"`
}

// ItemName returns an object's name in the API, KIND.NAME.
func ItemName(id platform.ID) string { return string(id.Kind) + "." + id.Name }

// ToItem converts an object to its wire format.
func ToItem(o platform.Object) Item {
	return Item{
		APIVersion: APIVersion,
		Kind:       ItemKind,
		Metadata: Metadata{
			Name:            ItemName(o.ID()),
			ResourceVersion: FormatVersion(o.Version),
			Annotations:     map[string]string{WriterAnnotation: o.Writer},
		},
		Spec: o.Spec,
	}
}

// FromItem converts an object from its wire format.
func FromItem(i Item) (platform.Object, error) {
	id, err := ParseItemName(i.Metadata.Name)
	if err != nil {
		return platform.Object{}, err
	}
	version, err := ParseVersion(i.Metadata.ResourceVersion)
	if err != nil {
		return platform.Object{}, err
	}
	return platform.Object{
		Kind:    id.Kind,
		Name:    id.Name,
		Version: version,
		Writer:  i.Metadata.Annotations[WriterAnnotation],
		Spec:    i.Spec,
	}, nil
}

// ParseVersion parses a resource version; "" is 0.
func ParseVersion(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("parse resource version: %w", err)
	}
	return v, nil
}

// FormatVersion formats a version or revision.
func FormatVersion(v uint64) string { return strconv.FormatUint(v, 10) }

// ParseItemName parses an object's name in the API.
func ParseItemName(name string) (platform.ID, error) {
	kind, rest, ok := strings.Cut(name, ".")
	if !ok {
		return platform.ID{}, fmt.Errorf("parse item name: %q does not have the form KIND.NAME", name)
	}
	return platform.ID{Kind: model.Kind(kind), Name: rest}, nil
}
