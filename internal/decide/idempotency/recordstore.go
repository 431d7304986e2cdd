package idempotency

import (
	"slices"
	"time"

	"hemlockquay/internal/wire"
)

// RecordStore is what one dispatcher keeps as a holder. It belongs to one goroutine at
// a time. Times are readings of one clock that never goes back.
type RecordStore struct {
	vm      string
	started time.Duration
	places  []wire.Place
	// forgot says that this dispatcher may have held records in an earlier
	// life, and has not got them back.
	forgot bool
	// copies are the VMs whose records were read since places came, and
	// whether they had forgotten theirs.
	copies map[string]copyState
	// departed are VMs that left the list, with the time; their records went too.
	departed map[wire.Place]time.Duration
	// handoffs are VMs that handed their records over before they left.
	handoffs map[string]bool
	// leaving says that this VM did, and records nothing more.
	leaving bool

	records map[Key]*heldRecord
	// answerKeys are the keys of records with answers, oldest first.
	answerKeys  []Key
	answerBytes int
}

type copyState struct {
	forgot bool
	age    time.Duration
}

type heldRecord struct {
	Record
	changed time.Duration
}

// NewRecordStore returns the book of a dispatcher that has just started.
func NewRecordStore(vm string, now time.Duration) *RecordStore {
	return &RecordStore{vm: vm, started: now, forgot: true, copies: make(map[string]copyState), departed: make(map[wire.Place]time.Duration), handoffs: make(map[string]bool), records: make(map[Key]*heldRecord)}
}

// SetPlaces takes the platform's list, sorted by VM.
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

// Places returns the list in force.
func (rs *RecordStore) Places() []wire.Place { return rs.places }

// Missing returns the listed VMs whose records are not known here.
func (rs *RecordStore) Missing() []string {
	var out []string
	for _, p := range rs.places {
		if s, ok := rs.copies[p.VM]; p.VM != rs.vm && (!ok || s.forgot) {
			out = append(out, p.VM)
		}
	}
	return out
}

// isClean reports whether no record of the key can be unknown here: it was at two
// VMs at least when its request was sent, and one VM's records at most are
// missing, of all that may have been its holders.
//
// Failure: one holder restarts and forgets, the other is lost and leaves the
// list. All that are listed then answer, and none has the record. So VMs that
// left count as missing for the keys that they would hold today, for as long as
// records last, and a VM that forgot gets its word back only if none had left.
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

// askedAllVMs reports whether every listed VM was asked for its copy since this one
// started.
//
// Failure: a VM handed over and was restarted under its name. It stores a claim
// and is lost, and a VM that still has its handoff takes nothing for missing.
// Asking for a copy takes the handoff back, so nothing is stored before.
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

// Forgot reports whether records of an earlier life may be missing here.
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

// departedHolders counts the VMs that left and would hold the key if they had not.
func (rs *RecordStore) departedHolders(k Key) int {
	n := 0
	for p := range rs.departed {
		if slices.Contains(Holders(append(slices.Clone(rs.places), p), k), p.VM) {
			n++
		}
	}
	return n
}

// isNewFleet reports whether every dispatcher answered and is young: nobody had
// anything to forget.
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

// Claim votes on a claim. The holders are the coordinator's; a VM with another
// list names others, and its vote does not count.
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

// hasRoom makes hasRoom for a record by expired ones only.
func (rs *RecordStore) hasRoom(now time.Duration) bool {
	if len(rs.records) < maxRecords {
		return true
	}
	rs.Expire(now)
	return len(rs.records) < maxRecords
}

// Expire forgets records after their time.
func (rs *RecordStore) Expire(now time.Duration) {
	for k := range rs.records {
		rs.expire(k, now)
	}
}

// Settle records the end of a claimed request.
func (rs *RecordStore) Settle(r Record, now time.Duration) {
	if h := rs.records[r.Key]; h == nil || h.Claim.ID == r.Claim.ID {
		rs.put(r, now)
	}
}

// Release forgets a claim whose request surely was not run.
func (rs *RecordStore) Release(k Key, id string) {
	if h := rs.records[k]; h != nil && h.Claim.ID == id {
		rs.drop(k)
	}
}

// Departure is a VM that left the list some time ago.
type Departure struct {
	Place wire.Place
	Age   time.Duration
}

// Copy is what a VM gives to another that asks for its records.
type Copy struct {
	// Places is the giver's list: a copy from under another list may lack
	// records that are claimed meanwhile.
	Places []wire.Place
	// Gone are the VMs that left, with how long ago.
	Gone    []Departure
	Forgot  bool
	Age     time.Duration
	Records []Record
}

// CopyFor returns the records of which the asking VM is a holder.
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

// MergeCopy adds the records of another VM.
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

// Leave returns all records, for the others to take over, and ends this VM's part
// as a holder: a claim stored after it would be known to nobody.
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

// Handoff takes over the records of a VM that leaves, those that this VM holds
// or will hold without it. It must still be listed, and not have forgotten any.
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

// merge adds a record of another VM, unless this one knows more.
func (rs *RecordStore) merge(r Record, now time.Duration) {
	if h := rs.records[r.Key]; h == nil || !h.Done && r.Done && h.Claim.ID == r.Claim.ID {
		rs.put(r, now)
	}
}

// Size returns the number of records and the bytes of their answers.
func (rs *RecordStore) Size() (records, bytes int) { return len(rs.records), rs.answerBytes }
