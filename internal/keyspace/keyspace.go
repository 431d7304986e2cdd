// Package keyspace hashes keys to points of a 64-bit space and divides the space into slices.
package keyspace

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Point is a position in the 64-bit space.
type Point uint64

// PointOf returns the point of a key, its 64-bit xxHash.
func PointOf(key string) Point { return Point(xxhash.Sum64String(key)) }

// Slice is the range of points from First to Last, both included.
type Slice struct {
	First Point `json:"first"`
	Last  Point `json:"last"`
}

// Contains reports whether the slice contains the point.
func (s Slice) Contains(p Point) bool { return s.First <= p && p <= s.Last }

// String returns the bounds of the slice in hexadecimal.
func (s Slice) String() string { return fmt.Sprintf("%016x-%016x", uint64(s.First), uint64(s.Last)) }

// Split divides the slice into two halves. A slice of one point cannot be divided; ok is
// then false.
func (s Slice) Split() (low, high Slice, ok bool) {
	if s.First >= s.Last {
		return s, Slice{}, false
	}
	middle := s.First + (s.Last-s.First)/2
	return Slice{First: s.First, Last: middle}, Slice{First: middle + 1, Last: s.Last}, true
}

// Divide divides the whole space into n slices of about equal size; n must be at least 1. The last slice
// is smaller than the others where n does not divide the space evenly.
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
