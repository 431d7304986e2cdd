// Package keyspace maps keys to a 64-bit space and the space to slices.
package keyspace

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Point is a position in the 64-bit space.
type Point uint64

// Of returns the point of a key.
func Of(key string) Point { return Point(xxhash.Sum64String(key)) }

// Slice is a range of points, both ends included.
type Slice struct {
	First Point `json:"first"`
	Last  Point `json:"last"`
}

// Contains reports whether the point lies in the slice.
func (s Slice) Contains(p Point) bool { return s.First <= p && p <= s.Last }

// String renders the slice as hexadecimal bounds.
func (s Slice) String() string { return fmt.Sprintf("%016x-%016x", uint64(s.First), uint64(s.Last)) }

// Split cuts the slice at its middle. A slice of one point cannot be split;
// ok is false then.
func (s Slice) Split() (low, high Slice, ok bool) {
	if s.First >= s.Last {
		return s, Slice{}, false
	}
	middle := s.First + (s.Last-s.First)/2
	return Slice{First: s.First, Last: middle}, Slice{First: middle + 1, Last: s.Last}, true
}

// Divide cuts the whole space into n slices of equal size, n at least 1.
func Divide(n int) []Slice {
	step := ^uint64(0)/uint64(n) + 1
	if n == 1 {
		return []Slice{{First: 0, Last: ^Point(0)}}
	}
	slices := make([]Slice, n)
	for i := range slices {
		slices[i].First = Point(uint64(i) * step)
		slices[i].Last = Point(uint64(i+1)*step - 1)
	}
	slices[n-1].Last = ^Point(0)
	return slices
}
