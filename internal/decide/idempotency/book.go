package idempotency

import (
	"slices"
	"time"

	"hemlockquay/internal/wire"
)

// Book is what one dispatcher keeps as a holder. It belongs to one goroutine at
// a time. Times are readings of one clock that never goes back.
type Book struct {
	vm      string
	started time.Duration
	places  []wire.Place
	// forgot says that this dispatcher may have held records in an earlier
	// life, and has not got them back.
	forgot bool
	// synced are the VMs whose records were read since places came, and
	// whether they had forgotten theirs.
	synced map[string]syncState
	// gone are VMs that left the list, with the time; their records went too.
	gone map[wire.Place]time.Duration
	// handoffs are VMs that handed their records over before they left.
	handoffs map[string]bool
	// left says that this VM did, and records nothing more.
	left bool

	records map[Key]*held
	// kept are the keys of records with answers, oldest first.
	kept  []Key
	bytes int
}

type syncState struct {
	forgot bool
	age    time.Duration
}

type held struct {
	Record
	changed time.Duration
}

// NewBook returns the book of a dispatcher that has just started.
func NewBook(vm string, now time.Duration) *Book {
	return &Book{vm: vm, started: now, forgot: true, synced: make(map[string]syncState), gone: make(map[wire.Place]time.Duration), handoffs: make(map[string]bool), records: make(map[Key]*held)}
}

// SetPlaces takes the platform's list, sorted by VM.
func (b *Book) SetPlaces(places []wire.Place, now time.Duration) {
	if slices.Equal(places, b.places) || len(places) == 0 {
		return
	}
	for _, p := range b.places {
		if !slices.Contains(places, p) && !b.handoffs[p.VM] {
			b.gone[p] = now
		}
	}
	for _, p := range places {
		delete(b.handoffs, p.VM)
	}
	b.places = slices.Clone(places)
	b.synced = make(map[string]syncState)
}

// Places returns the list in force.
func (b *Book) Places() []wire.Place { return b.places }

// Missing returns the listed VMs whose records are not known here.
func (b *Book) Missing() []string {
	var out []string
	for _, p := range b.places {
		if s, ok := b.synced[p.VM]; p.VM != b.vm && (!ok || s.forgot) {
			out = append(out, p.VM)
		}
	}
	return out
}

// clean reports whether no record of the key can be unknown here: it was at two
// VMs at least when its request was sent, and one VM's records at most are
// missing, of all that may have been its holders.
//
// Failure: one holder restarts and forgets, the other is lost and leaves the
// list. All that are listed then answer, and none has the record. So VMs that
// left count as missing for the keys that they would hold today, for as long as
// records last, and a VM that forgot gets its word back only if none had left.
func (b *Book) clean(k Key, now time.Duration) bool {
	if len(b.places) == 0 {
		return false
	}
	if b.newFleet(now) {
		return true
	}
	missing := len(b.Missing()) + b.goneHolders(k)
	if b.Forgot(now) {
		missing++
	}
	return missing <= 1
}

// known reports whether every listed VM was asked for its copy since this one
// started.
//
// Failure: a VM handed over and was restarted under its name. It stores a claim
// and is lost, and a VM that still has its handoff takes nothing for missing.
// Asking for a copy takes the handoff back, so nothing is stored before.
func (b *Book) known(now time.Duration) bool {
	if !b.Forgot(now) {
		return true
	}
	for _, p := range b.places {
		if _, ok := b.synced[p.VM]; p.VM != b.vm && !ok {
			return false
		}
	}
	return true
}

// Forgot reports whether records of an earlier life may be missing here.
func (b *Book) Forgot(now time.Duration) bool {
	for p, at := range b.gone {
		if now-at > Remember {
			delete(b.gone, p)
		}
	}
	regained := len(b.places) > 0 && len(b.gone) == 0 && len(b.Missing()) == 0
	if regained || now-b.started > Remember || b.newFleet(now) {
		b.forgot = false
	}
	return b.forgot
}

// goneHolders counts the VMs that left and would hold the key if they had not.
func (b *Book) goneHolders(k Key) int {
	n := 0
	for p := range b.gone {
		if slices.Contains(Holders(append(slices.Clone(b.places), p), k), p.VM) {
			n++
		}
	}
	return n
}

// newFleet reports whether every dispatcher answered and is young: nobody had
// anything to forget.
func (b *Book) newFleet(now time.Duration) bool {
	if now-b.started > fleetStart || len(b.places) == 0 || len(b.gone) > 0 {
		return false
	}
	for _, p := range b.places {
		if s, ok := b.synced[p.VM]; p.VM != b.vm && (!ok || s.age > fleetStart) {
			return false
		}
	}
	return true
}

// Claim votes on a claim. The holders are the coordinator's; a VM with another
// list names others, and its vote does not count.
func (b *Book) Claim(r Record, by []string, now time.Duration) Vote {
	if b.left || !slices.Equal(by, Holders(b.places, r.Key)) {
		return Vote{}
	}
	b.expire(r.Key, now)
	if h := b.records[r.Key]; h != nil && h.Claim.ID != r.Claim.ID {
		copied := h.Record
		return Vote{Record: &copied, Mismatch: h.Fingerprint != r.Fingerprint}
	}
	v := Vote{Clean: b.clean(r.Key, now)}
	if b.records[r.Key] != nil || b.known(now) && b.room(now) {
		b.put(r, now)
		v.Stored = true
	}
	return v
}

func (b *Book) put(r Record, now time.Duration) {
	b.drop(r.Key)
	b.records[r.Key] = &held{Record: r, changed: now - r.Age}
	if r.Answer == nil {
		return
	}
	b.kept = append(b.kept, r.Key)
	b.bytes += len(r.Answer.Body)
	for b.bytes > maxAnswers && len(b.kept) > 0 {
		oldest := b.records[b.kept[0]]
		b.bytes -= len(oldest.Answer.Body)
		oldest.Answer = nil
		b.kept = b.kept[1:]
	}
}

func (b *Book) drop(k Key) {
	h := b.records[k]
	if h == nil {
		return
	}
	if h.Answer != nil {
		b.bytes -= len(h.Answer.Body)
		b.kept = slices.DeleteFunc(b.kept, func(other Key) bool { return other == k })
	}
	delete(b.records, k)
}

func (b *Book) expire(k Key, now time.Duration) {
	if h := b.records[k]; h != nil && now-h.changed > Remember {
		b.drop(k)
	}
}

// room makes room for a record by expired ones only.
func (b *Book) room(now time.Duration) bool {
	if len(b.records) < maxRecords {
		return true
	}
	b.Expire(now)
	return len(b.records) < maxRecords
}

// Expire forgets records after their time.
func (b *Book) Expire(now time.Duration) {
	for k := range b.records {
		b.expire(k, now)
	}
}

// Settle records the end of a claimed request.
func (b *Book) Settle(r Record, now time.Duration) {
	if h := b.records[r.Key]; h == nil || h.Claim.ID == r.Claim.ID {
		b.put(r, now)
	}
}

// Release forgets a claim whose request surely was not run.
func (b *Book) Release(k Key, id string) {
	if h := b.records[k]; h != nil && h.Claim.ID == id {
		b.drop(k)
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
func (b *Book) CopyFor(vm string, now time.Duration) Copy {
	delete(b.handoffs, vm)
	c := Copy{Places: b.places, Forgot: b.Forgot(now), Age: now - b.started}
	for p, at := range b.gone {
		c.Gone = append(c.Gone, Departure{Place: p, Age: now - at})
	}
	copied := 0
	for k, h := range b.records {
		if slices.Contains(Holders(b.places, k), vm) {
			r := h.Record
			r.Age = now - h.changed
			if r.Answer != nil {
				copied += len(r.Answer.Body)
			}
			if copied > maxCopied {
				r.Answer = nil
			}
			c.Records = append(c.Records, r)
		}
	}
	return c
}

// TakeCopy adds the records of another VM.
func (b *Book) TakeCopy(vm string, c Copy, now time.Duration) {
	if !slices.Equal(c.Places, b.places) || now-b.started <= VoteLife {
		return
	}
	for _, d := range c.Gone {
		if !slices.Contains(b.places, d.Place) {
			b.gone[d.Place] = max(b.gone[d.Place], now-d.Age)
		}
	}
	for _, r := range c.Records {
		b.merge(r, now)
	}
	b.synced[vm] = syncState{forgot: c.Forgot, age: c.Age}
}

// Leave returns all records, for the others to take over, and ends this VM's part
// as a holder: a claim stored after it would be known to nobody.
func (b *Book) Leave(now time.Duration) Copy {
	b.left = true
	c := Copy{Places: b.places, Forgot: b.Forgot(now), Age: now - b.started}
	for _, h := range b.records {
		r := h.Record
		r.Age = now - h.changed
		c.Records = append(c.Records, r)
	}
	return c
}

// Handoff takes over the records of a VM that leaves, those that this VM holds
// or will hold without it. It must still be listed, and not have forgotten any.
func (b *Book) Handoff(vm string, c Copy, now time.Duration) {
	rest := slices.DeleteFunc(slices.Clone(b.places), func(p wire.Place) bool { return p.VM == vm })
	if c.Forgot || len(rest) == len(b.places) {
		return
	}
	for _, r := range c.Records {
		if slices.Contains(Holders(rest, r.Key), b.vm) {
			b.merge(r, now)
		}
	}
	b.handoffs[vm] = true
}

// merge adds a record of another VM, unless this one knows more.
func (b *Book) merge(r Record, now time.Duration) {
	if h := b.records[r.Key]; h == nil || !h.Done && r.Done && h.Claim.ID == r.Claim.ID {
		b.put(r, now)
	}
}

// Size returns the number of records and the bytes of their answers.
func (b *Book) Size() (records, bytes int) { return len(b.records), b.bytes }
