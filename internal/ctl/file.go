package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strconv"

	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/settings"
)

// versionLine is how a file says which version its author read. `get` writes it.
var versionLine = regexp.MustCompile(`(?m)^\s*//\s*version:\s*(\d+)\s*$`)

// ReadFile reads and checks an object of the kind from a file. Its Version is
// the one named in the file's header comment, 0 where there is none.
func ReadFile(kind model.Kind, file string) (platform.Object, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return platform.Object{}, fmt.Errorf("read %s: %w", kind, err)
	}
	return Parse(kind, file, text)
}

// Parse is ReadFile on a text; source stands in errors.
func Parse(kind model.Kind, source string, text []byte) (platform.Object, error) {
	typed, name, err := decode(kind, source, text)
	if err != nil {
		return platform.Object{}, err
	}
	spec, err := json.Marshal(typed)
	if err != nil {
		return platform.Object{}, fmt.Errorf("encode %s: %w", kind, err)
	}
	o := platform.Object{Kind: kind, Name: name, Spec: spec}
	if m := versionLine.FindSubmatch(text); m != nil {
		if o.Version, err = strconv.ParseUint(string(m[1]), 10, 64); err != nil {
			return platform.Object{}, &settings.Error{Source: source, Line: 1, Reason: err.Error()}
		}
	}
	// What agents and daemons will do with it, so that none of them can refuse
	// what was accepted here.
	if _, err := model.Decode(kind, o.Name, o.Spec); err != nil {
		return platform.Object{}, err
	}
	return o, nil
}

func decode(kind model.Kind, source string, text []byte) (any, string, error) {
	switch kind {
	case model.KindService:
		var s model.Service
		err := settings.Decode(source, text, &s)
		return &s, s.Name, err
	case model.KindContract:
		var c model.Contract
		err := settings.Decode(source, text, &c)
		return &c, c.Customer, err
	}
	return nil, "", fmt.Errorf("operators write contracts and services, not %s", kind)
}

// Render returns the object as a file that Parse reads: its version in the
// header comment, its spec indented.
func Render(o platform.Object) ([]byte, error) {
	var out bytes.Buffer
	fmt.Fprintf(&out, "// version: %d\n", o.Version)
	if err := json.Indent(&out, o.Spec, "", "  "); err != nil {
		return nil, fmt.Errorf("render %s %s: %w", o.Kind, o.Name, err)
	}
	out.WriteByte('\n')
	return out.Bytes(), nil
}
