// Package fixedseed makes property tests draw the same values on every run.
//
// The library seeds itself from the clock: a rare fault would then fail one run
// in a hundred, and a verdict that changes by itself proves nothing about a
// change. Every test package that uses the library imports this one. A wider
// search is a run with the test flag -rapid.seed, which still overrides it.
package fixedseed

import (
	"flag"
	"fmt"

	// Registers the flags that init sets.
	_ "pgregory.net/rapid"
)

// seed is the one under which a slot was first seen idle beside waiting work.
const seed = "1"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(fmt.Errorf("fix the seed of property tests: %w", err))
	}
	// A failure is reproduced by the seed; no file is left in the tree.
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(fmt.Errorf("fix the seed of property tests: %w", err))
	}
}
