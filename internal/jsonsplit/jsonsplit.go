// Package jsonsplit splits a JSON text into its members or elements without reading what is in them.
//
// Package encoding/json rejects a whole text for one value in it that is nested too deep. A list of objects of several writers
// is split first, and each object is decoded on its own, so that an odd one costs only itself. A text that does not end, or has
// something behind its end, is an error: no part of a truncated list is returned.
package jsonsplit

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Errors of a split.
var (
	// ErrTruncated says that the text ends within a value.
	ErrTruncated = errors.New("JSON text ends early")
	// ErrMalformed says that the text is not an object or array, as the caller expects it.
	ErrMalformed = errors.New("malformed JSON text")
)

// Members returns the members of an object by their names. Of several with the same name it returns the last one, as package
// encoding/json does. The values are parts of text and may be malformed in themselves.
func Members(text []byte) (map[string]json.RawMessage, error) {
	out := make(map[string]json.RawMessage)
	err := split(text, '{', '}', func(s *scanner) error {
		name, err := s.name()
		if err != nil {
			return err
		}
		value, err := s.value()
		out[name] = value
		return err
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

// Elements returns the elements of an array. They are parts of text and may be malformed in themselves.
func Elements(text []byte) ([]json.RawMessage, error) {
	var out []json.RawMessage
	err := split(text, '[', ']', func(s *scanner) error {
		value, err := s.value()
		out = append(out, value)
		return err
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

// split calls part for each part of an object or array, whose text must be complete.
func split(text []byte, first, last byte, part func(s *scanner) error) error {
	s := &scanner{text: text}
	if err := s.expect(first); err != nil {
		return err
	}
	for n := 0; ; n++ {
		switch c, err := s.peek(); {
		case err != nil:
			return err
		case c == last:
			s.at++
			return s.end()
		case n > 0:
			if err := s.expect(','); err != nil {
				return err
			}
		}
		if err := part(s); err != nil {
			return err
		}
	}
}

// scanner reads a text from at.
type scanner struct {
	text []byte
	at   int
}

// peek skips white space and returns the next byte, which stays.
func (s *scanner) peek() (byte, error) {
	for ; s.at < len(s.text); s.at++ {
		switch c := s.text[s.at]; c {
		case ' ', '\t', '\r', '\n':
		default:
			return c, nil
		}
	}
	return 0, ErrTruncated
}

func (s *scanner) expect(want byte) error {
	c, err := s.peek()
	if err != nil {
		return err
	}
	if c != want {
		return fmt.Errorf("%w: %q at byte %d, not %q", ErrMalformed, c, s.at, want)
	}
	s.at++
	return nil
}

// end returns an error if something follows.
func (s *scanner) end() error {
	if c, err := s.peek(); err == nil {
		return fmt.Errorf("%w: %q behind its end", ErrMalformed, c)
	}
	return nil
}

// name reads the name of a member with its colon.
func (s *scanner) name() (string, error) {
	if c, err := s.peek(); err != nil || c != '"' {
		return "", errors.Join(ErrMalformed, err)
	}
	begin := s.at
	if err := s.skipString(); err != nil {
		return "", err
	}
	var name string
	if err := json.Unmarshal(s.text[begin:s.at], &name); err != nil {
		return "", fmt.Errorf("%w: name: %w", ErrMalformed, err)
	}
	return name, s.expect(':')
}

// value reads a value up to the comma or the end of what it is in. It counts brackets in place of calling itself for each
// level, so that no nesting is too deep.
func (s *scanner) value() (json.RawMessage, error) {
	if _, err := s.peek(); err != nil {
		return nil, err
	}
	begin, depth := s.at, 0
	for s.at < len(s.text) {
		switch c := s.text[s.at]; c {
		case '"':
			if err := s.skipString(); err != nil {
				return nil, err
			}
			continue
		case '{', '[':
			depth++
		case '}', ']', ',':
			if depth == 0 {
				if s.at == begin {
					return nil, fmt.Errorf("%w: %q in place of a value", ErrMalformed, c)
				}
				return s.text[begin:s.at:s.at], nil
			}
			if c != ',' {
				depth--
			}
		}
		s.at++
	}
	return nil, ErrTruncated
}

// skipString skips a string, whose first quotation mark is next.
func (s *scanner) skipString() error {
	for s.at++; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return nil
		}
	}
	return ErrTruncated
}
