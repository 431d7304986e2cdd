package fairqueue

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawItem(t *rapid.T, n int) *Item[int] {
	return &Item[int]{
		Value:    n,
		Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
		Class:    Class(rapid.IntRange(0, 1).Draw(t, "class")),
		Weight:   rapid.IntRange(1, 4).Draw(t, "weight"),
		Cost:     float64(rapid.IntRange(1, 100).Draw(t, "cost")) / 100,
		Long:     rapid.Bool().Draw(t, "long"),
	}
}

// Over any sequence of operations every item leaves the queue exactly once, Next returns
// an item whenever one qualifies, and the sums match the waiting items.
func TestNothingIsLostOrServedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](rapid.IntRange(1, 20).Draw(t, "limit"), rapid.Float64Range(0, 0.5).Draw(t, "floor"))
		waiting := make(map[*Item[int]]bool)
		var taken []*Item[int]
		markGone := func(i *Item[int]) {
			require.True(t, waiting[i])
			delete(waiting, i)
		}
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				i := drawItem(t, n)
				n++
				waiting[i] = true
				if out := q.Push(i); out != nil {
					markGone(out)
				}
			},
			"next": func(t *rapid.T) {
				includeLong, qualifies := rapid.Bool().Draw(t, "includeLong"), false
				for i := range waiting {
					qualifies = qualifies || includeLong || !i.Long
				}
				i := q.Next(includeLong)
				require.Equal(t, qualifies, i != nil)
				if i != nil {
					markGone(i)
					taken = append(taken, i)
				}
			},
			"return": func(t *rapid.T) {
				if len(taken) == 0 {
					t.Skip("none taken")
				}
				i := taken[len(taken)-1]
				taken = taken[:len(taken)-1]
				waiting[i] = true
				q.Requeue(i)
			},
			"remove": func(t *rapid.T) {
				for i := range waiting {
					markGone(i)
					q.Remove(i)
					return
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(waiting), q.Len())
				work := 0.0
				for i := range waiting {
					require.True(t, i.Waiting())
					work += i.Cost
				}
				require.InDelta(t, work, q.Work(Interactive)+q.Work(Background), 1e-6)
			},
		})
	})
}

// While background work waits, it gets its floor of the service time to within two
// requests of the highest cost.
func TestBackgroundGetsItsFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor := rapid.Float64Range(0.05, 0.5).Draw(t, "floor")
		q := New[int](10_000, floor)
		most := 0.0
		for n := range 2000 {
			i := drawItem(t, n)
			i.Long = false
			i.Class = Class(n % 2)
			most = max(most, i.Cost)
			q.Push(i)
		}
		total, background := 0.0, 0.0
		for q.ClassLen(Background) > 0 && q.ClassLen(Interactive) > 0 {
			i := q.Next(true)
			total += i.Cost
			if i.Class == Background {
				background += i.Cost
			}
			require.GreaterOrEqual(t, background, floor*total-2*most)
			require.LessOrEqual(t, background, floor*total+2*most)
		}
	})
}

// Customers that always have work waiting are served in proportion to their weights,
// whatever their requests cost.
func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](100_000, 0)
		weights, costs := make([]int, 3), make([]float64, 3)
		for c := range weights {
			weights[c] = rapid.IntRange(1, 5).Draw(t, "weight")
			costs[c] = float64(rapid.IntRange(1, 10).Draw(t, "cost")) / 10
			for n := range 2000 {
				q.Push(&Item[int]{Value: n, Customer: fmt.Sprint(c), Weight: weights[c], Cost: costs[c]})
			}
		}
		served := make(map[string]float64)
		for range 600 {
			i := q.Next(true)
			served[i.Customer] += i.Cost
		}
		for c := range weights {
			for d := range weights {
				require.InDelta(t, served[fmt.Sprint(c)]/float64(weights[c]), served[fmt.Sprint(d)]/float64(weights[d]), costs[c]/float64(weights[c])+costs[d]/float64(weights[d]))
			}
		}
	})
}

// A burst fills the queue. Only the customer that sent it loses requests, the newest
// first; customers with a single waiting request keep it.
func TestBurstIsDroppedFromItsOwnCustomer(t *testing.T) {
	q := New[int](10, 0.1)
	calm := &Item[int]{Customer: "calm", Weight: 1, Cost: 1}
	require.Nil(t, q.Push(calm))
	for n := range 30 {
		i := &Item[int]{Value: n, Customer: "hot", Weight: 1, Cost: 1}
		if out := q.Push(i); n >= 9 {
			require.Same(t, i, out)
		}
	}
	late := &Item[int]{Customer: "late", Weight: 1, Cost: 1}
	out := q.Push(late)
	require.Equal(t, "hot", out.Customer)
	require.True(t, calm.Waiting())
	require.True(t, late.Waiting())
}

func BenchmarkPushNext(b *testing.B) {
	q := New[int](1024, 0.1)
	items := make([]Item[int], 1024)
	for n := range items {
		items[n] = Item[int]{Customer: fmt.Sprint("c", n%50), Weight: 1, Cost: 0.01}
		q.Push(&items[n])
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Push(q.Next(true))
	}
}
