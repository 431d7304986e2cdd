// Package settings decodes JSON with comments into typed values and reports the
// line and field of an error.
//
// Unknown fields are errors: a misspelt limit that is silently ignored would not be
// in force.
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

// Checker is a value that can validate itself. Check fills in defaults and reports
// the first invalid field.
type Checker interface {
	Check() error
}

// FieldError reports a field with an invalid value.
type FieldError struct {
	// Pointer is the RFC 6901 JSON Pointer of the field.
	Pointer string
	Reason  string
}

// Error returns "field POINTER: REASON".
func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Pointer, e.Reason) }

// Invalid returns a FieldError with a formatted reason.
func Invalid(pointer, format string, args ...any) error {
	return &FieldError{Pointer: pointer, Reason: fmt.Sprintf(format, args...)}
}

// Error is a syntax or validation error with its position in the source.
type Error struct {
	Source string
	Line   int
	Field  string
	Reason string
}

// Error returns "SOURCE:LINE: field FIELD: REASON", without the field if there is none.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.Source, e.Line, e.Reason)
	}
	return fmt.Sprintf("%s:%d: field %s: %s", e.Source, e.Line, e.Field, e.Reason)
}

// Load decodes the file into v and validates it.
func Load(file string, v Checker) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	return Decode(file, text, v)
}

// Decode decodes JSON with comments into v and validates it. Its errors are of type
// *Error, with source, line and field.
func Decode(source string, text []byte, v Checker) error {
	if err := CheckDepth(text); err != nil {
		return syntaxError(source, err)
	}
	plain, err := standardize(text)
	if err != nil {
		return syntaxError(source, err)
	}
	if err := json.Unmarshal(plain, v, json.RejectUnknownMembers(true)); err != nil {
		return semanticError(source, plain, err)
	}
	return validationError(source, text, v.Check())
}

// standardize returns the text with comments and trailing commas replaced by spaces, so
// that byte offsets stay the same.
//
// Most objects are written by programs, some of them records of thousands of groups, and
// every VM reads each one. They have no comments, and parsing a text into a syntax tree costs
// more than the rest of decoding it, so valid JSON is returned as it is.
func standardize(text []byte) ([]byte, error) {
	if jsontext.Value(text).IsValid() {
		return text, nil
	}
	return hujson.Standardize(withFinalNewline(text))
}

// withFinalNewline returns a copy of the text with a newline at the end: the library rejects
// a line comment that ends with the file.
func withFinalNewline(text []byte) []byte { return append(bytes.Clone(text), '\n') }

func syntaxError(source string, err error) error {
	// The library reports the position in the message, as "line N".
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

func validationError(source string, text []byte, err error) error {
	if err == nil {
		return nil
	}
	var fe *FieldError
	if !errors.As(err, &fe) {
		return &Error{Source: source, Line: 1, Reason: err.Error()}
	}
	return &Error{Source: source, Line: lineOf(text, fe.Pointer), Field: fe.Pointer, Reason: fe.Reason}
}

// lineOf returns the line of the field that the pointer names. For a missing field, it is
// the line of the closest parent that is present.
func lineOf(text []byte, pointer string) int {
	tree, err := hujson.Parse(withFinalNewline(text))
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
