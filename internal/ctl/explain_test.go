package ctl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/journal"
)

// Guards against effects that are listed before their causes. This happens with sorting
// by time alone if a VM's clock is set back, here by a minute between a takeover and
// its consequence.
func TestSortByCauseKeepsOrderWithinEachDaemon(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(1000+s), 0) }
	entries := []journal.Entry{
		{VM: "vm1", Seq: 2, At: at(-60), Text: "effect"},
		{VM: "vm2", Seq: 9, At: at(1), Text: "later elsewhere"},
		{VM: "vm1", Seq: 1, At: at(0), Text: "cause"},
		{VM: "vm2", Seq: 8, At: at(-1), Text: "earlier elsewhere"},
	}
	var got []string
	for _, e := range SortByCause(entries) {
		got = append(got, e.Text)
	}
	require.Equal(t, []string{"earlier elsewhere", "cause", "effect", "later elsewhere"}, got)
}

// Guards against rare journal entries that frequent ones displace: thousands of contract
// changes can come between two moves of a key, and the entry of the move must remain.
func TestJournalKeepsRareSteps(t *testing.T) {
	j := journal.New("vm1", "hq-agent", 4)
	j.Add("move", "key moved", "k")
	for range 100 {
		j.Add("configure", "contract changed", "a")
	}
	entries := j.Entries()
	require.Len(t, entries, 5)
	require.Len(t, FilterBySubject(entries, []string{"k"}), 1)
	require.Equal(t, uint64(101), entries[4].Seq)
}
