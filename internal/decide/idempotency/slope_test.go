package idempotency

import (
	"fmt"
	"testing"
	"time"

	"hemlockquay/internal/capacity"
	"hemlockquay/internal/wire"
)

func slopePlaces(n int) []wire.Place {
	var out []wire.Place
	for i := range n {
		out = append(out, wire.Place{VM: fmt.Sprintf("entry-vm-%05d", i), DataCentre: fmt.Sprintf("dc-%02d", i%15)})
	}
	return out
}

func slopeRecord(i int) Record {
	return Record{
		Key: Key{"narrators-of-the-south", "booth", fmt.Sprintf("booking-%016d", i)}, Fingerprint: 1,
		Claim: Claim{ID: fmt.Sprintf("entry-vm-00001-%d", i), Coordinator: "entry-vm-00001", Life: 1},
	}
}

// BenchmarkSlopeClaim measures the claim of a new key and its release in a store of n records.
func BenchmarkSlopeClaim(b *testing.B) {
	for _, n := range []int{1 << 10, 1 << 13, 1 << 15} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			places := slopePlaces(3)
			fill := func() *RecordStore {
				store := NewRecordStore(places[0].VM, 0)
				store.SetPlaces(places, 0)
				for _, p := range places[1:] {
					store.MergeCopy(p.VM, Copy{Places: places}, time.Second)
				}
				for i := range n {
					r := slopeRecord(i)
					store.Claim(r, Holders(places, r.Key), time.Second)
				}
				return store
			}
			kept := capacity.Retained(func() any { return fill() })
			store, r := fill(), slopeRecord(1<<20)
			by := Holders(places, r.Key)
			for b.Loop() {
				store.Claim(r, by, time.Second)
				store.Release(r.Key, r.Claim.ID)
			}
			if records, _ := store.Size(); records != n {
				b.Fatal("claims were not stored: ", records)
			}
			b.ReportMetric(kept, "heap-B")
		})
	}
}

// BenchmarkSlopeHolders measures finding a key's holders among n VMs, which every request with
// an Idempotency-Key does.
func BenchmarkSlopeHolders(b *testing.B) {
	for _, n := range []int{16, 128, 1024} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			places, k := slopePlaces(n), slopeRecord(1).Key
			for b.Loop() {
				if len(Holders(places, k)) != 3 {
					b.Fatal("holders are missing")
				}
			}
		})
	}
}
