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

// versionLine matches the comment that names the version on which a file is based.
// Render writes it.
var versionLine = regexp.MustCompile(`(?m)^\s*//\s*version:\s*(\d+)\s*$`)

// ReadFile reads an object of the kind from a file and validates it. Its Version is
// the one in the file's version comment, 0 if there is none.
func ReadFile(kind model.Kind, file string) (platform.Object, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return platform.Object{}, fmt.Errorf("read %s: %w", kind, err)
	}
	return Parse(kind, file, text)
}

// Parse is like ReadFile for a text; errors name source as its origin.
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
	// Agents and daemons decode the object in the same way, so none of them can
	// reject what was accepted here.
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
	return nil, "", fmt.Errorf("only contracts and services can be written, not %s", kind)
}

// Render returns the object in the form that Parse reads: a comment with the version,
// then the indented spec.
func Render(o platform.Object) ([]byte, error) {
	var out bytes.Buffer
	fmt.Fprintf(&out, "// version: %d\n", o.Version)
	if err := json.Indent(&out, o.Spec, "", "  "); err != nil {
		return nil, fmt.Errorf("render %s %s: %w", o.Kind, o.Name, err)
	}
	out.WriteByte('\n')
	return out.Bytes(), nil
}
