package quarantine

import (
	"slices"
	"time"
)

// Case is what is known of a fingerprint under which a target died. Cases of
// several dispatchers merge: deaths add up by their names.
type Case struct {
	Fingerprint Fingerprint
	// Deaths are the targets' deaths.
	Deaths []Death
	// Cleared are deaths that a later run alone did not confirm.
	Cleared []string
	// Age is how long ago the case changed, for notices between dispatchers.
	Age time.Duration
}

// Death is one target's end while it ran a request of the fingerprint.
type Death struct {
	Name string
	// Alone says that nothing else ran there.
	Alone bool
	// Proof says that it ran there as a suspect.
	Proof bool
}

// unclearedDeaths returns the deaths that are not cleared.
func (c *Case) unclearedDeaths() []Death {
	return slices.DeleteFunc(slices.Clone(c.Deaths), func(d Death) bool { return slices.Contains(c.Cleared, d.Name) })
}

// Suspect reports whether a request must run alone.
func (c *Case) Suspect() bool { return len(c.unclearedDeaths()) > 0 }

// Quarantined reports whether no request runs any more: a target died under it as
// a suspect, or two died that ran nothing else. Two deaths beside others prove
// nothing: an innocent request of which many are in flight may run beside two
// killers.
func (c *Case) Quarantined() bool {
	alone := 0
	for _, d := range c.unclearedDeaths() {
		if d.Proof {
			return true
		}
		if d.Alone {
			alone++
		}
	}
	return alone >= 2
}
