package lease

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestRecordRoundTripsThroughJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(what string) Owner {
			return Owner{ID: fmt.Sprintf("t-%d", rapid.IntRange(0, 5).Draw(t, what)), Born: rapid.Int64Range(0, 3).Draw(t, "born"), Addr: "10.0.0.1:1"}
		}
		r := Record{
			Service: "s", Epoch: rapid.Uint64().Draw(t, "epoch"), Holder: "vm", HolderAddr: "10.0.0.2:1", Incarnation: 7,
			Resigned: rapid.Bool().Draw(t, "resigned"),
			Earlier:  rapid.SampledFrom([]Arrival{{}, NoArrival, ArrivalWithin(time.Millisecond), ArrivalWithin(longestArrival)}).Draw(t, "earlier"),
			Slices:   EvenSlices(rapid.IntRange(1, 60).Draw(t, "slices"), []Owner{{ID: "x"}}),
		}
		for i := range r.Slices {
			r.Slices[i].Owner = draw("owner")
			if rapid.Bool().Draw(t, "moved") {
				r.Slices[i].Previous = draw("previous")
			}
		}
		text, err := json.Marshal(r)
		require.NoError(t, err)
		var got Record
		require.NoError(t, json.Unmarshal(text, &got))
		require.Equal(t, r, got)
		require.NoError(t, got.Check())
	})
}

// Guards against a successor that does not wait because the record is of a program that does not state the wait, or states nonsense.
func TestRecordWithoutAStatedWaitMeansTheLongest(t *testing.T) {
	for text, want := range map[string]time.Duration{
		`{}`: longestArrival, `{"EarlierMs":null}`: longestArrival, `{"EarlierMs":-1}`: longestArrival, `{"EarlierMs":9223372036854775807}`: longestArrival,
		`{"EarlierMs":0}`: 0, `{"EarlierMs":2500}`: 2500 * time.Millisecond,
	} {
		var r Record
		require.NoError(t, json.Unmarshal([]byte(text), &r))
		require.Equal(t, want, r.Earlier.Within(), text)
	}
	spec, err := json.Marshal(Record{Earlier: ArrivalWithin(time.Millisecond + time.Nanosecond)})
	require.NoError(t, err)
	var r Record
	require.NoError(t, json.Unmarshal(spec, &r))
	require.Equal(t, 2*time.Millisecond, r.Earlier.Within(), "rounded up")
}

// Guards against large records: with 114 targets and 800 slices the record had 160 kB. Ten writes a second
// saturated a link of 10 Mbit/s, which delayed every grant and renewal.
func TestLargeRecordIsUnder16KB(t *testing.T) {
	var owners []Owner
	for i := range 114 {
		owners = append(owners, Owner{ID: fmt.Sprintf("i-%010x", i), Born: 1784441816220 + int64(i), Addr: fmt.Sprintf("10.2.64.%d:8027", i)})
	}
	text, err := json.Marshal(Record{Service: "s", Epoch: 9, Holder: "vm", Slices: EvenSlices(800, owners)})
	require.NoError(t, err)
	require.Less(t, len(text), 16_000)
}

func TestInvalidRecordIsRejected(t *testing.T) {
	for _, text := range []string{
		`{"Owners":[{"ID":"a"}],"From":[0],"Owner":[1]}`,
		`{"Owners":[{"ID":"a"}],"From":[0],"Owner":[-1]}`,
		`{"Owners":[{"ID":"a"}],"From":[0],"Owner":[]}`,
		`{"Owners":[{"ID":"a"}],"From":[0],"Owner":[0],"Previous":{"0":3}}`,
		`[]`,
	} {
		var r Record
		require.Error(t, json.Unmarshal([]byte(text), &r), text)
	}
	var r Record
	require.NoError(t, json.Unmarshal([]byte(`{"Owners":[{"ID":"a"}],"From":[0,0],"Owner":[0,0]}`), &r))
	require.Error(t, r.Check(), "slices out of order")
}

// A record from another writer or a later version must not crash the process, and a record that passes
// Check must cover the key space.
func FuzzRecord(f *testing.F) {
	f.Add(`{"Service":"s","Epoch":3,"Owners":[{"ID":"a","Born":1,"Addr":"h:1"}],"From":[0,100],"Owner":[0,0],"Previous":{"1":0}}`)
	f.Add(`{"Service":"s","Owners":[{"ID":"a"}],"From":[0,0],"Owner":[0,0]}`)
	f.Add(`{"Service":"s","Owners":[],"From":[0],"Owner":[0]}`)
	f.Add(`{"Service":"s","Owners":[{"ID":"a"}],"From":[65535,1],"Owner":[0,-1],"Previous":{"-1":9}}`)
	f.Add(`{"From":null,"Owner":null}`)
	f.Fuzz(func(t *testing.T, text string) {
		var r Record
		if json.Unmarshal([]byte(text), &r) != nil || r.Check() != nil {
			return
		}
		for _, key := range []uint16{0, 1, 99, 100, 32768, 65535} {
			s := r.Slices[Index(r.Slices, key)]
			require.LessOrEqual(t, s.From, key)
			require.GreaterOrEqual(t, s.To, key)
		}
		again, err := json.Marshal(r)
		require.NoError(t, err)
		var back Record
		require.NoError(t, json.Unmarshal(again, &back))
		require.Equal(t, r.Slices, back.Slices)
	})
}
