// Package idempotency replicates records of requests that carry an Idempotency-Key, so that
// such a request runs at most once however often its caller sends it.
//
// Load pattern and failure: a caller gets no answer, because a VM was lost or the answer was
// late, and sends the request again through another entry. Without a record, the repeat opens
// a second pull request or books a second session.
//
// Every key has three holders: the dispatchers that rank highest for it by rendezvous hashing
// over the platform's list of VMs, in different data centres if there are three. All VMs with
// the same list compute the same holders. The dispatcher that is about to send a request (its
// coordinator) first claims the key at all holders. It sends the request only if a quorum of
// two stored the claim and a quorum of two was clean, that is, has no record of the key and
// cannot have lost one. Any two quorums overlap, so at most one of several concurrent
// coordinators sends the request. There are several if views of the members differ, or if an
// entry gave up on the first one.
//
// A holder is clean for a key only if, since its list of VMs last changed, it has read the
// records of all but at most one of the VMs that may have held the key. If it was restarted,
// it counts as one of the missing VMs itself. It therefore knows every record, since at least
// two VMs have stored a record when its request is sent. Holders are computed from the
// platform's list because a network partition does not change that list, while it changes
// the views of the members.
//
// Guarantees: the loss of any one VM loses no record. A repeat gets the first answer, waits
// for it, or gets unknown if the lost VM was sending the request. After the loss of two of a
// key's three holders, a repeat gets unknown and is never run a second time. Not covered: a
// restart of all dispatchers within newFleetAge, which cannot be told from the start of a new
// fleet; a repeat after Retention; a VM that returns under its name with old state (VMs of this
// system keep none).
//
// Sizing: repeats come within the caller's timeout (60 s by default) or from a retry of its
// job, within minutes. A record takes about 300 bytes without its answer, so the limits below
// keep the memory of a VM under 90 MB.
package idempotency

import (
	"slices"
	"time"

	"hemlockquay/internal/decide/rendezvous"
	"hemlockquay/internal/wire"
)

// Limits of the store of one dispatcher.
const (
	// Retention is how long a record is kept after its last change.
	Retention = 10 * time.Minute
	// VoteValidity is how long a coordinator may count a vote. A restarted holder merges no
	// copies until this time has passed: a claim that it voted for before the restart, and
	// that another holder stores only later, would be in none of the copies.
	VoteValidity = 500 * time.Millisecond
	// maxRecords limits the number of records. Beyond it, requests with new keys are refused
	// as not run; records are never evicted before Retention has passed.
	maxRecords = 65536
	// maxAnswerBytes limits the total size of stored answers. Beyond it the oldest answers
	// are dropped, and repeats of their requests get unknown.
	maxAnswerBytes = 64 << 20
	// maxCopiedBytes limits the size of the answers in one copy between dispatchers.
	maxCopiedBytes = 8 << 20
	// newFleetAge is the uptime up to which all dispatchers together count as a new fleet,
	// which has no records to lose.
	newFleetAge = time.Minute
	// holderCount is the number of VMs that hold a record: the smallest number for which any
	// two quorums overlap and one VM may be lost.
	holderCount = 3
)

// Key identifies a logical request, whose repeats carry the same key.
type Key struct{ Customer, Service, Name string }

// Claim is the intent of one coordinator to run a request.
type Claim struct {
	// ID is unique across all coordinators and their restarts.
	ID string
	// Coordinator is the VM that runs the request, Life the incarnation of its dispatcher.
	Coordinator string
	Life        int64
}

// Record is the state of one key that its holders store.
type Record struct {
	Key Key
	// Fingerprint is a hash of the request, by which a different request with the same key
	// is recognised.
	Fingerprint uint64
	Claim       Claim
	// Done reports whether the request has ended. Answer is nil until then, and once it was
	// dropped to save memory.
	Done   bool
	Answer *wire.Answer
	// Age is the time since the last change of the record; it is set in copies only.
	Age time.Duration
}

// Vote is a holder's response to a claim.
type Vote struct {
	// Stored reports whether the holder has stored the claim.
	Stored bool
	// Clean reports whether the holder has no other record of the key and cannot have lost one.
	Clean bool
	// Record is the existing record of another claim, if any.
	Record *Record
	// Mismatch reports whether Record belongs to a different request.
	Mismatch bool
}

// Holders returns the VMs that hold the key's record, in descending rank.
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

// Quorum returns the size of a majority of n holders.
func Quorum(n int) int { return n/2 + 1 }

// Action tells a coordinator what to do, given the votes.
type Action int

const (
	// Wait means that more votes are needed.
	Wait Action = iota
	// Run means that the claim succeeded and the request may be sent.
	Run
	// Follow means that an earlier claim exists, whose outcome decides.
	Follow
	// Mismatched means that the key was used for a different request.
	Mismatched
	// Refuse means that the request was never run and cannot be recorded now.
	Refuse
	// Unknown means that the record of an earlier run may have been lost.
	Unknown
)

// Decide evaluates the votes of n holders. final reports whether no more votes will come. For
// Follow it also returns the record to follow.
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

// moreComplete returns the record that knows more about the outcome of its request: one with
// an answer before one that is done, before one that is neither.
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
