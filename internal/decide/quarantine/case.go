package quarantine

import (
	"slices"
	"time"
)

// Case holds the deaths of targets that ran requests with a fingerprint. Cases of several
// dispatchers are merged by uniting their deaths, which are identified by name.
type Case struct {
	Fingerprint Fingerprint
	// Deaths lists the deaths of targets that ran a request with the fingerprint.
	Deaths []Death
	// Cleared lists the names of the deaths after which a run alone ended with an answer.
	Cleared []string
	// Age is the time since the last change of the case, for notices between dispatchers.
	Age time.Duration
}

// Death is the death of one target while it ran a request with the fingerprint.
type Death struct {
	Name string
	// Alone reports whether the target ran no other request.
	Alone bool
	// Proof reports whether the request ran there alone as a suspect, so that it is the cause.
	Proof bool
}

// unclearedDeaths returns the deaths that are not cleared.
func (c *Case) unclearedDeaths() []Death {
	return slices.DeleteFunc(slices.Clone(c.Deaths), func(d Death) bool { return slices.Contains(c.Cleared, d.Name) })
}

// Suspect reports whether requests with the fingerprint must run alone.
func (c *Case) Suspect() bool { return len(c.unclearedDeaths()) > 0 }

// Quarantined reports whether requests with the fingerprint are no longer run: a target died
// while running one as a suspect, or two targets died that ran nothing else. Two deaths beside
// other requests prove nothing, since a harmless request of which many copies are in flight may
// run beside two crashing ones.
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
