package objectapi

import (
	"encoding/json"
	"fmt"

	"hemlockquay/internal/jsonsplit"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
)

// listing is a List whose items are not read.
type listing struct {
	metadata Metadata
	items    []json.RawMessage
}

// UnmarshalText implements encoding.TextUnmarshaler for the body of an answer.
func (l *listing) UnmarshalText(text []byte) error {
	members, err := jsonsplit.Members(text)
	if err != nil {
		return err
	}
	if m, ok := members["metadata"]; ok {
		if err := json.Unmarshal(m, &l.metadata); err != nil {
			return fmt.Errorf("field metadata: %w", err)
		}
	}
	if items, ok := members["items"]; ok && string(items) != "null" {
		l.items, err = jsonsplit.Elements(items)
	}
	return err
}

// readItem decodes an item of a list or watch. Without a usable version the object has neither version nor spec, and refused says
// why; without a usable name it has no name either.
func readItem(text json.RawMessage) (out platform.Object, refused error) {
	members, err := jsonsplit.Members(text)
	if err != nil {
		return out, err
	}
	var m Metadata
	err = json.Unmarshal(members["metadata"], &m)
	// A field of another type does not keep the others from being decoded.
	id, nameErr := ParseItemName(m.Name)
	if nameErr != nil {
		return out, nameErr
	}
	out.Kind, out.Name = id.Kind, id.Name
	if err != nil {
		return out, err
	}
	version, err := ParseVersion(m.ResourceVersion)
	if err != nil {
		return out, err
	}
	out.Version, out.Writer, out.Spec = version, m.Annotations[WriterAnnotation], members["spec"]
	return out, nil
}

// readEvent decodes a line of a watch. An event whose object has no usable name has no object; previous is the revision of the
// event before it, which stands for one that cannot be read.
func readEvent(line []byte, previous uint64) (out platform.Event, refused error) {
	out.Revision = previous
	members, err := jsonsplit.Members(line)
	if err != nil {
		return out, err
	}
	var eventType string
	if err := json.Unmarshal(members["type"], &eventType); err != nil {
		return out, fmt.Errorf("field type: %w", err)
	}
	object := members["object"]
	switch eventType {
	case Bookmark:
		out.Type = platform.EventBookmark
		var item struct{ Metadata Metadata }
		if err := json.Unmarshal(object, &item); err != nil {
			return out, fmt.Errorf("bookmark: %w", err)
		}
		revision, err := ParseVersion(item.Metadata.ResourceVersion)
		if err == nil {
			out.Revision = revision
		}
		return out, err
	case Added, Modified:
		out.Type = platform.EventPut
	case Deleted:
		out.Type = platform.EventDelete
	default:
		return out, fmt.Errorf("watch: unexpected event type %q: %w", eventType, platform.ErrGone)
	}
	out.Object, refused = readItem(object)
	if refused == nil {
		out.Revision = out.Object.Version
	}
	return out, refused
}

// readVM decodes an entry of the list of VMs. An agent that cannot be called is none that others can use.
func readVM(text json.RawMessage) (out platform.VM, refused error) {
	if err := json.Unmarshal(text, &out); err != nil {
		return out, err
	}
	if out.Name == "" {
		return out, fmt.Errorf("field name: empty")
	}
	return out, model.CheckAddr(out.AgentAddr)
}
