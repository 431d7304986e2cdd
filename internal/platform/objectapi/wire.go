// Package objectapi is the client of the platform's object API over HTTP.
//
// The protocol follows the published conventions of the Kubernetes API for one
// custom resource: metadata.resourceVersion as the expected version of a write,
// 409 for a conflict, 410 for a watch that starts too far back, and a watch as a
// stream of JSON events with bookmarks.
package objectapi

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
)

// Paths and names of the API.
const (
	APIVersion  = "hemlockquay.example/v1"
	ObjectsPath = "/apis/hemlockquay.example/v1/quayobjects"
	VMsPath     = "/apis/platform.example/v1/vms"
	ItemKind    = "QuayObject"
	// WriterAnnotation holds the tag of the write that made the version.
	WriterAnnotation = "hemlockquay.example/writer"
)

// Event types on the wire.
const (
	Added    = "ADDED"
	Modified = "MODIFIED"
	Deleted  = "DELETED"
	Bookmark = "BOOKMARK"
	Failure  = "ERROR"
)

// Metadata is an item's or a list's metadata.
type Metadata struct {
	Name            string            `json:"name,omitempty"`
	ResourceVersion string            `json:"resourceVersion,omitempty"`
	Annotations     map[string]string `json:"annotations,omitempty"`
}

// Item is one object on the wire.
type Item struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   Metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
}

// List is a collection on the wire.
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

// VMList is the platform's list on the wire.
type VMList struct {
	Items []platform.VM `json:"items"`
}

// ItemName returns the name on the wire: KIND.NAME.
func ItemName(id platform.ID) string { return string(id.Kind) + "." + id.Name }

// ToItem renders an object.
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

// FromItem reads an object.
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

// ParseVersion reads a resource version; "" is 0.
func ParseVersion(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read resource version: %w", err)
	}
	return v, nil
}

// FormatVersion renders a version or revision.
func FormatVersion(v uint64) string { return strconv.FormatUint(v, 10) }

// ParseItemName reads a name on the wire.
func ParseItemName(name string) (platform.ID, error) {
	kind, rest, ok := strings.Cut(name, ".")
	if !ok {
		return platform.ID{}, fmt.Errorf("read item: name %q is not KIND.NAME", name)
	}
	return platform.ID{Kind: model.Kind(kind), Name: rest}, nil
}
