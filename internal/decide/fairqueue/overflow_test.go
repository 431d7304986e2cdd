package fairqueue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// overload pushes requests of customers drawn in proportion to the rates, serves one for
// every 1.5 that arrive, and keeps the queue at 60, as the dispatcher does. It returns how
// many requests arrived between each refused request and its refusal, sorted, and the number
// of refused requests by customer.
func overload(rates ...float64) (waited []int, refused map[string]int) {
	random := rand.New(rand.NewPCG(1, 1))
	q := New[int](1000, 0.1)
	sum := 0.0
	for _, r := range rates {
		sum += r
	}
	refused = make(map[string]int)
	for n := range 30000 {
		pick, c := random.Float64()*sum, 0
		for ; pick > rates[c]; c++ {
			pick -= rates[c]
		}
		i := &Item[int]{Value: n, Customer: fmt.Sprint("c", c), Weight: 1, Cost: 1}
		q.Push(i)
		var out *Item[int]
		switch {
		case q.Len() > 90:
			out = q.DropNewestOverShare(Interactive)
		case q.Len() > 60 && q.DropIfOverShare(i):
			out = i
		}
		if out != nil {
			waited = append(waited, n-out.Value)
			refused[out.Customer]++
		}
		if random.Float64() < 1/1.5 {
			q.Next(true)
		}
	}
	slices.Sort(waited)
	return waited, refused
}

// Two customers, or a hundred, together send 1.5 times the capacity of the pool. Guards
// against late refusals: if the customer that holds slightly more loses its newest request,
// that request has already waited for milliseconds, or for a third of a second with a
// hundred customers.
func TestNewestItemIsDroppedAmongEqualCustomers(t *testing.T) {
	hundred := make([]float64, 100)
	for i := range hundred {
		hundred[i] = 1
	}
	// At 1,500 requests a second, about 7 arrive in 5 ms.
	for _, rates := range [][]float64{{1, 1}, {1, 1, 1}, {5, 4, 3}, hundred} {
		waited, _ := overload(rates...)
		require.Greater(t, len(waited), 5000)
		require.LessOrEqual(t, waited[len(waited)*99/100], 7, "%d customers", len(rates))
	}
}

// One customer sends more than the pool can serve, two others send a tenth of its capacity
// each. The two are below their shares and must lose nothing.
func TestCustomerBelowItsShareLosesNothing(t *testing.T) {
	waited, refused := overload(1.3, 0.1, 0.1)
	require.Equal(t, len(waited), refused["c0"])
}
