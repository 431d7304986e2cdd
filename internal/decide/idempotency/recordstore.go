package idempotency

import (
	"slices"
	"time"

	"hemlockquay/internal/wire"
)

// RecordStore holds the records of one dispatcher in its role as a holder. It is not safe
// for concurrent use. All times passed to it are readings of one monotonic clock.
type RecordStore struct {
	vm      string
	started time.Duration
	places  []wire.Place
	// forgot reports whether this dispatcher may have held records before its last
	// restart and has not recovered them yet.
	forgot bool
	// copies holds the state of each VM whose records were merged since places last
	// changed.
	copies map[string]copyState
	// departed holds the VMs that were removed from the list without handing over their
	// records, and when they were removed. Their copies of the records are lost.
	departed map[wire.Place]time.Duration
	// handoffs holds the VMs that handed over their records before shutting down.
	handoffs map[string]bool
	// leaving is set once this VM has handed over its records; it accepts no more claims.
	leaving bool

	records map[Key]*heldRecord
	// answerKeys holds the keys of the records that have an answer, oldest first.
	answerKeys  []Key
	answerBytes int
}

// copyState describes the VM that a copy came from: whether it lacked records itself, and
// how long it had been running.
type copyState struct {
	forgot bool
	age    time.Duration
}

type heldRecord struct {
	Record
	changed time.Duration
}

// NewRecordStore returns the empty store of a dispatcher that has just started.
func NewRecordStore(vm string, now time.Duration) *RecordStore {
	return &RecordStore{vm: vm, started: now, forgot: true, copies: make(map[string]copyState), departed: make(map[wire.Place]time.Duration), handoffs: make(map[string]bool), records: make(map[Key]*heldRecord)}
}

// SetPlaces sets the platform's list of VMs, sorted by VM.
func (rs *RecordStore) SetPlaces(places []wire.Place, now time.Duration) {
	if slices.Equal(places, rs.places) || len(places) == 0 {
		return
	}
	for _, p := range rs.places {
		if !slices.Contains(places, p) && !rs.handoffs[p.VM] {
			rs.departed[p] = now
		}
	}
	for _, p := range places {
		delete(rs.handoffs, p.VM)
	}
	rs.places = slices.Clone(places)
	rs.copies = make(map[string]copyState)
}

// Places returns the current list of VMs.
func (rs *RecordStore) Places() []wire.Place { return rs.places }

// Missing returns the listed VMs, other than this one, from which no complete copy of the
// records was merged.
func (rs *RecordStore) Missing() []string {
	var out []string
	for _, p := range rs.places {
		if s, ok := rs.copies[p.VM]; p.VM != rs.vm && (!ok || s.forgot) {
			out = append(out, p.VM)
		}
	}
	return out
}

// isClean reports whether this store is certain to hold the key's record if there is one.
// A record is stored on at least two VMs when its request is sent, so the store may lack
// the records of at most one VM (this one included) that may have been a holder of the key.
//
// VMs removed from the list count as missing for the keys that they would hold today, until
// their records would have expired, and a restarted VM counts as recovered only if no VM
// has been removed. Otherwise, if one holder restarts and loses its records and the other
// is lost and removed from the list, all listed VMs answer and none has the record.
func (rs *RecordStore) isClean(k Key, now time.Duration) bool {
	if len(rs.places) == 0 {
		return false
	}
	if rs.isNewFleet(now) {
		return true
	}
	missing := len(rs.Missing()) + rs.departedHolders(k)
	if rs.Forgot(now) {
		missing++
	}
	return missing <= 1
}

// askedAllVMs reports whether this VM has recovered its records or has merged a copy from
// every other listed VM since its list of VMs last changed.
//
// No claim is stored before that. A VM may hand over its records and restart under the same
// name. If it then stored a claim and was lost, a VM that still has the old handoff would
// not count it as missing. Asking a VM for its copy cancels the handoff there.
func (rs *RecordStore) askedAllVMs(now time.Duration) bool {
	if !rs.Forgot(now) {
		return true
	}
	for _, p := range rs.places {
		if _, ok := rs.copies[p.VM]; p.VM != rs.vm && !ok {
			return false
		}
	}
	return true
}

// Forgot reports whether records stored before this dispatcher's last restart may be missing.
func (rs *RecordStore) Forgot(now time.Duration) bool {
	for p, at := range rs.departed {
		if now-at > Retention {
			delete(rs.departed, p)
		}
	}
	regained := len(rs.places) > 0 && len(rs.departed) == 0 && len(rs.Missing()) == 0
	if regained || now-rs.started > Retention || rs.isNewFleet(now) {
		rs.forgot = false
	}
	return rs.forgot
}

// departedHolders returns the number of removed VMs that would be holders of the key if they
// were still listed.
func (rs *RecordStore) departedHolders(k Key) int {
	n := 0
	for p := range rs.departed {
		if slices.Contains(Holders(append(slices.Clone(rs.places), p), k), p.VM) {
			n++
		}
	}
	return n
}

// isNewFleet reports whether all listed dispatchers are known to have started at most
// newFleetAge ago and none was removed from the list, so that no record can be lost.
func (rs *RecordStore) isNewFleet(now time.Duration) bool {
	if now-rs.started > newFleetAge || len(rs.places) == 0 || len(rs.departed) > 0 {
		return false
	}
	for _, p := range rs.places {
		if s, ok := rs.copies[p.VM]; p.VM != rs.vm && (!ok || s.age > newFleetAge) {
			return false
		}
	}
	return true
}

// Claim stores the claim if possible and returns this holder's vote on it. by lists the
// holders as the coordinator computed them; if this VM's list gives other holders, the vote
// is empty and does not count.
func (rs *RecordStore) Claim(r Record, by []string, now time.Duration) Vote {
	if rs.leaving || !slices.Equal(by, Holders(rs.places, r.Key)) {
		return Vote{}
	}
	rs.expire(r.Key, now)
	if h := rs.records[r.Key]; h != nil && h.Claim.ID != r.Claim.ID {
		copied := h.Record
		return Vote{Record: &copied, Mismatch: h.Fingerprint != r.Fingerprint}
	}
	v := Vote{Clean: rs.isClean(r.Key, now)}
	if rs.records[r.Key] != nil || rs.askedAllVMs(now) && rs.hasRoom(now) {
		rs.put(r, now)
		v.Stored = true
	}
	return v
}

func (rs *RecordStore) put(r Record, now time.Duration) {
	rs.drop(r.Key)
	rs.records[r.Key] = &heldRecord{Record: r, changed: now - r.Age}
	if r.Answer == nil {
		return
	}
	rs.answerKeys = append(rs.answerKeys, r.Key)
	rs.answerBytes += len(r.Answer.Body)
	for rs.answerBytes > maxAnswerBytes && len(rs.answerKeys) > 0 {
		oldest := rs.records[rs.answerKeys[0]]
		rs.answerBytes -= len(oldest.Answer.Body)
		oldest.Answer = nil
		rs.answerKeys = rs.answerKeys[1:]
	}
}

func (rs *RecordStore) drop(k Key) {
	h := rs.records[k]
	if h == nil {
		return
	}
	if h.Answer != nil {
		rs.answerBytes -= len(h.Answer.Body)
		rs.answerKeys = slices.DeleteFunc(rs.answerKeys, func(other Key) bool { return other == k })
	}
	delete(rs.records, k)
}

func (rs *RecordStore) expire(k Key, now time.Duration) {
	if h := rs.records[k]; h != nil && now-h.changed > Retention {
		rs.drop(k)
	}
}

// hasRoom reports whether another record can be stored. If the store is full, it first
// removes expired records, and only these.
func (rs *RecordStore) hasRoom(now time.Duration) bool {
	if len(rs.records) < maxRecords {
		return true
	}
	rs.Expire(now)
	return len(rs.records) < maxRecords
}

// Expire removes the records that are older than Retention.
func (rs *RecordStore) Expire(now time.Duration) {
	for k := range rs.records {
		rs.expire(k, now)
	}
}

// Settle stores the outcome of a claimed request.
func (rs *RecordStore) Settle(r Record, now time.Duration) {
	if h := rs.records[r.Key]; h == nil || h.Claim.ID == r.Claim.ID {
		rs.put(r, now)
	}
}

// Release removes a claim whose request certainly was not run.
func (rs *RecordStore) Release(k Key, id string) {
	if h := rs.records[k]; h != nil && h.Claim.ID == id {
		rs.drop(k)
	}
}

// Departure is a VM that was removed from the list, and how long ago.
type Departure struct {
	Place wire.Place
	Age   time.Duration
}

// Copy is a VM's records and state, as sent to another holder.
type Copy struct {
	// Places is the sender's list of VMs. A copy made under a different list may lack
	// records that are claimed in the meantime.
	Places []wire.Place
	// Gone lists the VMs that were removed from the list.
	Gone []Departure
	// Forgot reports whether records from before the sender's last restart may be missing.
	Forgot bool
	// Age is how long ago the sender started.
	Age     time.Duration
	Records []Record
}

// CopyFor returns the records of which the given VM is a holder. It cancels an earlier
// handoff of that VM. Answers beyond maxCopiedBytes are left out.
func (rs *RecordStore) CopyFor(vm string, now time.Duration) Copy {
	delete(rs.handoffs, vm)
	c := Copy{Places: rs.places, Forgot: rs.Forgot(now), Age: now - rs.started}
	for p, at := range rs.departed {
		c.Gone = append(c.Gone, Departure{Place: p, Age: now - at})
	}
	copied := 0
	for k, h := range rs.records {
		if slices.Contains(Holders(rs.places, k), vm) {
			r := h.Record
			r.Age = now - h.changed
			if r.Answer != nil {
				copied += len(r.Answer.Body)
			}
			if copied > maxCopiedBytes {
				r.Answer = nil
			}
			c.Records = append(c.Records, r)
		}
	}
	return c
}

// MergeCopy merges a copy of another VM's records. It ignores a copy made under a different
// list of VMs, and any copy within VoteValidity of the start.
func (rs *RecordStore) MergeCopy(vm string, c Copy, now time.Duration) {
	if !slices.Equal(c.Places, rs.places) || now-rs.started <= VoteValidity {
		return
	}
	for _, d := range c.Gone {
		if !slices.Contains(rs.places, d.Place) {
			rs.departed[d.Place] = max(rs.departed[d.Place], now-d.Age)
		}
	}
	for _, r := range c.Records {
		rs.merge(r, now)
	}
	rs.copies[vm] = copyState{forgot: c.Forgot, age: c.Age}
}

// Leave returns all records for the other holders to take over, and rejects claims from now
// on: a claim stored later would be lost with this VM.
func (rs *RecordStore) Leave(now time.Duration) Copy {
	rs.leaving = true
	c := Copy{Places: rs.places, Forgot: rs.Forgot(now), Age: now - rs.started}
	for _, h := range rs.records {
		r := h.Record
		r.Age = now - h.changed
		c.Records = append(c.Records, r)
	}
	return c
}

// Handoff merges the records of a VM that is shutting down, as far as this VM will be their
// holder without it. A handoff from a VM that is not listed, or that may lack records
// itself, is ignored.
func (rs *RecordStore) Handoff(vm string, c Copy, now time.Duration) {
	rest := slices.DeleteFunc(slices.Clone(rs.places), func(p wire.Place) bool { return p.VM == vm })
	if c.Forgot || len(rest) == len(rs.places) {
		return
	}
	for _, r := range c.Records {
		if slices.Contains(Holders(rest, r.Key), rs.vm) {
			rs.merge(r, now)
		}
	}
	rs.handoffs[vm] = true
}

// merge stores a record of another VM if this store has none for the key, or has the same
// claim without its outcome.
func (rs *RecordStore) merge(r Record, now time.Duration) {
	if h := rs.records[r.Key]; h == nil || !h.Done && r.Done && h.Claim.ID == r.Claim.ID {
		rs.put(r, now)
	}
}

// Size returns the number of records and the total size of their answer bodies.
func (rs *RecordStore) Size() (records, bytes int) { return len(rs.records), rs.answerBytes }
