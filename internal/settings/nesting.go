package settings

import (
	"bytes"
	"errors"
)

// maxDepth bounds how deep arrays and objects are nested. The library calls itself for each level, and a text of a megabyte that
// another writer left would take the memory of the process, or its stack. Objects and settings need far fewer levels.
const maxDepth = 128

var errTooDeep = errors.New("line 1: nested too deep")

// CheckDepth returns an error if a text, JSON with comments, is nested deeper than maxDepth.
func CheckDepth(text []byte) error {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '{', '[':
			if depth++; depth > maxDepth {
				return errTooDeep
			}
		case '}', ']':
			depth--
		case '"':
			i = endOfString(text, i)
		case '/':
			i = endOfComment(text, i)
		}
	}
	return nil
}

// endOfString returns the index of the quotation mark that ends the string at i.
func endOfString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// endOfComment returns the index of the last byte of the comment at i, or i if there is none.
func endOfComment(text []byte, i int) int {
	for begin, end := range map[string]string{"//": "\n", "/*": "*/"} {
		if !bytes.HasPrefix(text[i:], []byte(begin)) {
			continue
		}
		n := bytes.Index(text[i+len(begin):], []byte(end))
		if n < 0 {
			return len(text)
		}
		return i + len(begin) + n + len(end) - 1
	}
	return i
}
