// Package idempotency keeps records of intent, so that a request with an
// Idempotency-Key runs at most once however often its caller sends it.
//
// Load pattern and failure: a caller gets no answer, because a VM was lost or an
// answer was late, and sends the request again through another entry. Without a
// record the second one opens a second pull request or books a second session.
//
// Every key has three holders, the same at every VM with the same list: the
// dispatchers that score highest over the platform's list, in different data
// centres where there are three. The dispatcher that is about to send a request
// (its coordinator) claims the key at all holders first. It sends only if a
// quorum of two stored the claim and a quorum was clean: it has no record of the
// key and cannot have lost one. Any two quorums meet, so of two coordinators at
// once (members views differ, an entry gave up on the first) one at most sends.
//
// A holder is clean for a key only if, since its list of VMs came, it has read the
// records of all others that may have held the key but one at most, itself counted
// as one if it was restarted. So a record, which at least two VMs had when its
// request was sent, is known to it. The platform's list stays the same on a cut,
// which members views do not.
//
// Promise: the loss of any one VM loses no record: a repeat gets the first
// answer, or waits for it, or gets unknown where the lost VM was sending it. After
// the loss of two of a key's three holders a repeat gets unknown, never a second
// run. Not covered: all dispatchers restarted within newFleetAge, which is taken
// for the start of a new fleet; a repeat after Retention; VMs that return under
// their name with an earlier state (ours keep none).
//
// Figures: repeats come within a caller's patience (60 s by default) and its
// job's retry, minutes. A record takes about 300 bytes without its answer, so
// the bounds hold a VM under 90 MB.
package idempotency

import (
	"slices"
	"time"

	"hemlockquay/internal/decide/rendezvous"
	"hemlockquay/internal/wire"
)

// Bounds of what one dispatcher keeps.
const (
	// Retention is how long a record is kept after its last change.
	Retention = 10 * time.Minute
	// VoteValidity is how long a coordinator may count a vote. A restarted holder
	// takes no copies before that: a claim that its earlier life voted for, and
	// that another holder stores only later, would be in none of them.
	VoteValidity = 500 * time.Millisecond
	// maxRecords bounds the records; beyond it new keys are refused as not run,
	// and none is forgotten before its time.
	maxRecords = 65536
	// maxAnswerBytes bounds the bytes of kept answers; beyond it the oldest are
	// dropped, and their repeats get unknown.
	maxAnswerBytes = 64 << 20
	// maxCopiedBytes bounds the bytes of answers in one copy between dispatchers.
	maxCopiedBytes = 8 << 20
	// newFleetAge is how young all dispatchers must be to count as a new fleet.
	newFleetAge = time.Minute
	// holderCount is how many VMs hold a record: the fewest with two that meet.
	holderCount = 3
)

// Key names a logical request.
type Key struct{ Customer, Service, Name string }

// Claim is one coordinator's intent to run a request.
type Claim struct {
	// ID is unique over all coordinators and their lives.
	ID string
	// Coordinator is the VM, Life its dispatcher's incarnation.
	Coordinator string
	Life        int64
}

// Record is what holders keep.
type Record struct {
	Key         Key
	Fingerprint uint64
	Claim       Claim
	// Done says that the request ended; Answer is nil where it was dropped.
	Done   bool
	Answer *wire.Answer
	// Age is how long ago it changed, for copies between holders.
	Age time.Duration
}

// Vote is a holder's word on a claim.
type Vote struct {
	// Stored says that the claim is recorded here.
	Stored bool
	// Clean says that no other record exists or can have been lost here.
	Clean bool
	// Record is the one that stands in the way.
	Record *Record
	// Mismatch says that the record is of a different request.
	Mismatch bool
}

// Holders returns the VMs that hold the key's record, the first one best.
func Holders(places []wire.Place, k Key) []string {
	candidates := make([]rendezvous.Candidate, len(places))
	for i, p := range places {
		candidates[i] = rendezvous.Candidate{VM: p.VM, DataCentre: p.DataCentre}
	}
	order := rendezvous.Rank(candidates, k.Customer+"\x00"+k.Service+"\x00"+k.Name, "")
	var out []string
	used := make(map[string]bool)
	for _, i := range order {
		if len(out) < holderCount && !used[places[i].DataCentre] {
			used[places[i].DataCentre] = true
			out = append(out, places[i].VM)
		}
	}
	for _, i := range order {
		if len(out) < holderCount && !slices.Contains(out, places[i].VM) {
			out = append(out, places[i].VM)
		}
	}
	return out
}

// Quorum is how many of so many holders must agree.
func Quorum(n int) int { return n/2 + 1 }

// Action is what a coordinator does after the vote.
type Action int

// The actions.
const (
	// Wait: more votes must come in.
	Wait Action = iota
	// Run the request; the claim stands.
	Run
	// Follow the record of an earlier claim.
	Follow
	// Mismatched: the key was used for a different request.
	Mismatched
	// Refuse: the request was never run and cannot be recorded now.
	Refuse
	// Unknown: an earlier run may be forgotten.
	Unknown
)

// Decide counts the votes of n holders. final says that no more will come.
func Decide(votes []Vote, n int, final bool) (Action, *Record) {
	stored, clean, mismatch := 0, 0, false
	var record *Record
	for i := range votes {
		v := &votes[i]
		if v.Stored {
			stored++
		}
		if v.Clean {
			clean++
		}
		mismatch = mismatch || v.Mismatch
		record = moreComplete(record, v.Record)
	}
	switch q := Quorum(n); {
	case n > 0 && stored >= q && clean >= q:
		return Run, nil
	case !final:
		return Wait, nil
	case mismatch:
		return Mismatched, nil
	case record != nil:
		return Follow, record
	case n > 0 && clean >= q:
		return Refuse, nil
	}
	return Unknown, nil
}

// moreComplete returns the record that says more of the request's end.
func moreComplete(a, b *Record) *Record {
	switch {
	case a == nil:
		return b
	case b == nil || a.Answer != nil || a.Done && b.Answer == nil:
		return a
	case b.Done:
		return b
	}
	return a
}
