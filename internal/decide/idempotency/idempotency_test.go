package idempotency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hemlockquay/internal/wire"
)

// attempt is one coordinator's attempt to run the request of a key.
type attempt struct {
	record Record
	by     []string
	// unasked lists the holders that have not received the claim yet.
	unasked          []string
	votes            []Vote
	coordinatorStart int
	startedAt        time.Duration
	done             bool
}

type vm struct {
	place  wire.Place
	store  *RecordStore
	starts int
	down   bool
}

// cluster simulates dispatchers and the platform's list of VMs in virtual time.
type cluster struct {
	t        *rapid.T
	now      time.Duration
	vms      []*vm
	listed   []wire.Place
	attempts []*attempt
	runs     map[Key]int
}

func (c *cluster) add() {
	i := len(c.vms)
	v := &vm{place: wire.Place{VM: fmt.Sprintf("vm%d", i+1), DataCentre: fmt.Sprintf("dc%d", i%3)}}
	c.vms = append(c.vms, v)
	c.listed = append(slices.Clone(c.listed), v.place)
	c.start(v)
}

func (c *cluster) start(v *vm) {
	v.starts++
	v.down = false
	v.store = NewRecordStore(v.place.VM, c.now)
}

func (c *cluster) find(name string) *vm {
	for _, v := range c.vms {
		if v.place.VM == name {
			return v
		}
	}
	return nil
}

func (c *cluster) sync(v *vm) {
	for _, name := range v.store.Missing() {
		if other := c.find(name); !other.down {
			v.store.MergeCopy(name, other.store.CopyFor(v.place.VM, c.now), c.now)
		}
	}
}

func (c *cluster) syncAll() {
	for range 3 {
		for _, v := range c.vms {
			if !v.down {
				v.store.SetPlaces(c.listed, c.now)
				c.sync(v)
			}
		}
	}
}

func (c *cluster) startAttempt(v *vm, k Key) {
	by := Holders(v.store.Places(), k)
	id := fmt.Sprintf("%s/%d/%d", v.place.VM, v.starts, len(c.attempts))
	c.attempts = append(c.attempts, &attempt{
		record: Record{Key: k, Fingerprint: 7, Claim: Claim{ID: id, Coordinator: v.place.VM, Life: int64(v.starts)}},
		by:     by, unasked: slices.Clone(by), coordinatorStart: v.starts, startedAt: c.now,
	})
}

// deliverClaim delivers an attempt's claim to one holder, or loses the claim or its answer,
// and lets the coordinator decide.
func (c *cluster) deliverClaim(a *attempt, i int, delivery string) {
	holder := c.find(a.unasked[i])
	a.unasked = slices.Delete(a.unasked, i, i+1)
	if !holder.down && delivery != "claim lost" {
		vote := holder.store.Claim(a.record, a.by, c.now)
		if delivery != "answer lost" && c.now-a.startedAt <= VoteValidity {
			a.votes = append(a.votes, vote)
		}
	}
	coordinator := c.find(a.record.Claim.Coordinator)
	if a.done || coordinator.down || coordinator.starts != a.coordinatorStart {
		return
	}
	action, _ := Decide(a.votes, len(a.by), len(a.unasked) == 0)
	switch action {
	case Wait:
		return
	case Run:
		c.runs[a.record.Key]++
	default:
		// The request certainly was not run, so the coordinator withdraws the claim.
		for _, name := range a.by {
			if h := c.find(name); !h.down {
				h.store.Release(a.record.Key, a.record.Claim.ID)
			}
		}
	}
	a.done = true
}

var deliveries = []string{"delivered", "delivered", "delivered", "delivered", "claim lost", "answer lost"}

func (c *cluster) step() {
	v := c.vms[rapid.IntRange(0, len(c.vms)-1).Draw(c.t, "vm")]
	k := Key{Customer: "studio", Service: "booth", Name: fmt.Sprint(rapid.IntRange(0, 3).Draw(c.t, "key"))}
	switch rapid.IntRange(0, 14).Draw(c.t, "action") {
	case 0, 1, 2:
		if !v.down {
			c.startAttempt(v, k)
		}
	case 3, 4, 5, 6, 7:
		pending := slices.DeleteFunc(slices.Clone(c.attempts), func(a *attempt) bool { return len(a.unasked) == 0 })
		for n := rapid.IntRange(1, 4).Draw(c.t, "claims"); n > 0 && len(pending) > 0; n-- {
			a := pending[rapid.IntRange(0, len(pending)-1).Draw(c.t, "attempt")]
			if len(a.unasked) > 0 {
				c.deliverClaim(a, rapid.IntRange(0, len(a.unasked)-1).Draw(c.t, "holder"), rapid.SampledFrom(deliveries).Draw(c.t, "delivery"))
			}
		}
	case 8:
		// The first VM keeps running: a restart of the whole fleet is not covered, as the
		// package comment states.
		if v != c.vms[0] {
			v.down = true
		}
	case 9:
		if v.down && slices.Contains(c.listed, v.place) {
			c.start(v)
		}
	case 10:
		if v.down {
			c.listed = slices.DeleteFunc(slices.Clone(c.listed), func(p wire.Place) bool { return p == v.place })
		}
	case 11:
		if !v.down {
			v.store.SetPlaces(c.listed, c.now)
			c.sync(v)
		}
	case 12:
		c.syncAll()
	case 13:
		if v != c.vms[0] && !v.down {
			c.leave(v)
		}
	case 14:
		if len(c.vms) < 7 {
			c.add()
		}
	}
	c.now += time.Duration(rapid.IntRange(0, 2000).Draw(c.t, "ms")) * time.Millisecond
}

// leave shuts a VM down as planned. Some of the other VMs do not receive its records.
func (c *cluster) leave(v *vm) {
	records := v.store.Leave(c.now)
	for _, other := range c.vms {
		if other != v && !other.down && !rapid.Bool().Draw(c.t, "lost") {
			other.store.Handoff(v.place.VM, records, c.now)
		}
	}
	v.down = true
}

func newCluster(t *rapid.T, n int) *cluster {
	c := &cluster{t: t, runs: make(map[Key]int)}
	for range n {
		c.add()
	}
	c.now += 2 * VoteValidity
	c.syncAll()
	c.now += 2 * newFleetAge
	return c
}

// Guards against a second run of a request, which would be a double booking. The caller repeats
// it through all entries while dispatchers are lost, restarted with empty memory, replaced and
// partitioned, and while their lists of VMs differ.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.IntRange(3, 6).Draw(t, "vms"))
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			c.step()
			for k, n := range c.runs {
				require.LessOrEqual(t, n, 1, "key %s", k.Name)
			}
		}
	})
}

// Guards against a second run after holders are lost. With one of three holders lost, a request
// with a new key still runs and a repeat follows its record. With two lost, the outcome of a
// used key is unknown; it is never taken for new.
func TestLossOfOneAndTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 6)
		k := Key{Customer: "studio", Service: "booth", Name: rapid.StringN(1, 8, -1).Draw(t, "name")}
		claim := func() (Action, *Record) {
			c.startAttempt(c.vms[0], k)
			a := c.attempts[len(c.attempts)-1]
			var votes []Vote
			for _, name := range a.by {
				if h := c.find(name); !h.down {
					votes = append(votes, h.store.Claim(a.record, a.by, c.now))
				}
			}
			return Decide(votes, len(a.by), true)
		}
		by := Holders(c.listed, k)
		fresh := rapid.Bool().Draw(t, "fresh")
		if !fresh {
			action, _ := claim()
			require.Equal(t, Run, action)
		}
		c.find(by[0]).down = true
		action, record := claim()
		if fresh {
			require.Equal(t, Run, action)
			return
		}
		require.Equal(t, Follow, action)
		require.NotNil(t, record)
		c.start(c.find(by[0]))
		c.now += 2 * VoteValidity
		c.find(by[1]).down = true
		c.find(by[2]).down = true
		c.syncAll()
		action, _ = claim()
		require.Equal(t, Unknown, action)
	})
}

// Guards against answering a request with the answer of another one that used the same key.
func TestDifferentRequestWithSameKeyIsRefused(t *testing.T) {
	vote := Vote{Record: &Record{Fingerprint: 1}, Mismatch: true}
	action, _ := Decide([]Vote{vote, vote, vote}, 3, true)
	require.Equal(t, Mismatched, action)
}
