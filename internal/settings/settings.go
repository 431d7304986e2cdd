// Package settings reads JSON with comments into typed values and says where a
// value is wrong.
//
// Unknown fields are refused: a misspelt limit that is silently ignored is a
// limit that is not in force.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/tailscale/hujson"
)

// Checker is a value that can report whether it makes sense. Check also fills in
// defaults.
type Checker interface {
	Check() error
}

// FieldError says that a field has an impossible value.
type FieldError struct {
	// Pointer is the field's RFC 6901 pointer.
	Pointer string
	Reason  string
}

// Error renders pointer and reason.
func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Pointer, e.Reason) }

// Invalid returns a FieldError with a formatted reason.
func Invalid(pointer, format string, args ...any) error {
	return &FieldError{Pointer: pointer, Reason: fmt.Sprintf(format, args...)}
}

// Error is a refusal with its place in the source.
type Error struct {
	Source string
	Line   int
	Field  string
	Reason string
}

// Error renders "file:line: field: reason".
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.Source, e.Line, e.Reason)
	}
	return fmt.Sprintf("%s:%d: field %s: %s", e.Source, e.Line, e.Field, e.Reason)
}

// Load reads the file into v and checks it.
func Load(file string, v Checker) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	return Decode(file, text, v)
}

// Decode reads JSON with comments into v and checks it. The error is an *Error
// that names source, line and field.
func Decode(source string, text []byte, v Checker) error {
	plain, err := standardize(text)
	if err != nil {
		return syntaxError(source, err)
	}
	if err := json.Unmarshal(plain, v, json.RejectUnknownMembers(true)); err != nil {
		return semanticError(source, plain, err)
	}
	return placeCheck(source, text, v.Check())
}

// standardize returns the text without comments, every byte at its place.
//
// Load pattern: programs write most objects, records of thousands of groups
// among them, and every VM reads each. They hold no comments, and the tree of a
// text costs more than all else of its decoding, so none is built for them.
func standardize(text []byte) ([]byte, error) {
	if jsontext.Value(text).IsValid() {
		return text, nil
	}
	return hujson.Standardize(ended(text))
}

// ended returns a copy with a last newline: the library refuses a comment that ends
// with the file.
func ended(text []byte) []byte { return append(bytes.Clone(text), '\n') }

func syntaxError(source string, err error) error {
	// The library's message begins with its own position, "line N".
	line := 1
	if _, after, ok := strings.Cut(err.Error(), "line "); ok {
		_, _ = fmt.Sscanf(after, "%d", &line)
	}
	return &Error{Source: source, Line: line, Reason: err.Error()}
}

func semanticError(source string, plain []byte, err error) error {
	var se *json.SemanticError
	if errors.As(err, &se) {
		reason := "unknown field"
		if !errors.Is(err, json.ErrUnknownName) {
			reason = se.Error()
		}
		return &Error{Source: source, Line: lineAt(plain, se.ByteOffset), Field: string(se.JSONPointer), Reason: reason}
	}
	var syn *jsontext.SyntacticError
	if errors.As(err, &syn) {
		return &Error{Source: source, Line: lineAt(plain, syn.ByteOffset), Field: string(syn.JSONPointer), Reason: syn.Error()}
	}
	return &Error{Source: source, Line: 1, Reason: err.Error()}
}

func placeCheck(source string, text []byte, err error) error {
	if err == nil {
		return nil
	}
	var fe *FieldError
	if !errors.As(err, &fe) {
		return &Error{Source: source, Line: 1, Reason: err.Error()}
	}
	return &Error{Source: source, Line: lineOf(text, fe.Pointer), Field: fe.Pointer, Reason: fe.Reason}
}

// lineOf finds the line of a pointer. A field that is missing has the line of
// the closest parent that is there.
func lineOf(text []byte, pointer string) int {
	tree, err := hujson.Parse(ended(text))
	if err != nil {
		return 1
	}
	for {
		if v := tree.Find(pointer); v != nil {
			return lineAt(text, int64(v.StartOffset))
		}
		cut := strings.LastIndexByte(pointer, '/')
		if cut < 0 {
			return 1
		}
		pointer = pointer[:cut]
	}
}

func lineAt(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}
