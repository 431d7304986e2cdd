package ctl

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/tailscale/hujson"

	"hemlockquay/internal/settings"
)

// Difference is a field whose value differs between two specs.
type Difference struct {
	// Pointer is the field's RFC 6901 pointer.
	Pointer string `json:"pointer"`
	// Stored is the value in the stored object, Local the one in the operator's
	// file. Both are JSON values, "" if the field is missing.
	Stored string `json:"stored"`
	Local  string `json:"mine"`
}

// String returns the difference as readable text.
func (d Difference) String() string {
	return fmt.Sprintf("%s: stored %s, yours %s", d.Pointer, valueOrMissing(d.Stored), valueOrMissing(d.Local))
}

func valueOrMissing(v string) string {
	if v == "" {
		return "(missing)"
	}
	return v
}

// Diff returns the fields in which two specs differ, sorted by pointer. An empty spec
// has no fields.
func Diff(stored, local []byte) []Difference {
	a, b := flatten(stored), flatten(local)
	var out []Difference
	for pointer, value := range a {
		if b[pointer] != value {
			out = append(out, Difference{pointer, value, b[pointer]})
		}
	}
	for pointer, value := range b {
		if _, both := a[pointer]; !both {
			out = append(out, Difference{pointer, "", value})
		}
	}
	slices.SortFunc(out, func(x, y Difference) int {
		if x.Pointer < y.Pointer {
			return -1
		}
		return 1
	})
	return out
}

// flatten returns the leaf values of a JSON text by pointer. Text that cannot be
// parsed is returned as a single leaf with an empty pointer.
func flatten(spec []byte) map[string]string {
	out := make(map[string]string)
	if len(spec) == 0 {
		return out
	}
	var tree any
	err := settings.CheckDepth(spec)
	if err == nil {
		var plain []byte
		if plain, err = hujson.Standardize(slices.Clone(spec)); err == nil {
			err = json.Unmarshal(plain, &tree)
		}
	}
	if err != nil {
		out[""] = strconv.Quote(string(spec))
		return out
	}
	collectLeaves(out, "", tree)
	return out
}

func collectLeaves(out map[string]string, pointer string, v any) {
	switch typed := v.(type) {
	case map[string]any:
		for name, child := range typed {
			collectLeaves(out, pointer+"/"+name, child)
		}
	case []any:
		for i, child := range typed {
			collectLeaves(out, pointer+"/"+strconv.Itoa(i), child)
		}
	default:
		text, _ := json.Marshal(typed)
		out[pointer] = string(text)
	}
}
