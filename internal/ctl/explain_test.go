package ctl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/journal"
)

// A VM's clock is set back by a minute between a takeover and what followed from
// it. By time alone the effect stands before its cause, and the account tells
// the operator a wrong story.
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

// Changes of contracts come by the thousand between two moves of a key. The
// entry that explains the move must still be there.
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
