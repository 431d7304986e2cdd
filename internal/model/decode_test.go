package model

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/stretchr/testify/require"
)

const (
	goodService  = `{"name": "shelf", "keyed": true, "targets": [{"name": "t1", "addr": "127.0.0.1:1", "dataCentre": "a"}], "slots": 2, "connections": 110}`
	goodContract = `{"customer": "c", "tokenSHA256": "0000000000000000000000000000000000000000000000000000000000000000", "services": [{"service": "shelf", "rate": 1, "burst": 1, "concurrency": 1}]}`
)

func TestDecodeFillsDefaults(t *testing.T) {
	o, err := Decode(KindService, "shelf", []byte(goodService))
	require.NoError(t, err)
	s := o.(*Service)
	require.Equal(t, DefaultDeadline, s.Deadline)
	require.Equal(t, DefaultSlices, s.Slices)
	o, err = Decode(KindContract, "c", []byte(goodContract))
	require.NoError(t, err)
	require.Equal(t, Interactive, o.(*Contract).Services[0].Class)
}

func TestDecodeRefuses(t *testing.T) {
	cases := []struct {
		name string
		kind Kind
		id   string
		spec string
		want string
	}{
		{"unknown field", KindService, "shelf", "{\n\"name\": \"shelf\",\n\"slotz\": 1}", ":3: field /slotz"},
		{"no slots", KindService, "shelf", `{"name": "shelf", "targets": [{"name": "t", "addr": "1.1.1.1:1", "dataCentre": "a"}], "connections": 1}`, "field /slots"},
		{"same address", KindService, "shelf", `{"name": "shelf", "slots": 1, "connections": 1, "targets": [{"name": "t", "addr": "1.1.1.1:1", "dataCentre": "a"}, {"name": "u", "addr": "1.1.1.1:1", "dataCentre": "a"}]}`, "field /targets/1"},
		{"stored under another name", KindService, "x", goodService, "its name is \"shelf\""},
		{"rate 0", KindContract, "c", `{"customer": "c", "tokenSHA256": "0000000000000000000000000000000000000000000000000000000000000000", "services": [{"service": "s", "rate": 0, "burst": 1, "concurrency": 1}]}`, "field /services/0/rate"},
		{"short hash", KindContract, "c", `{"customer": "c", "tokenSHA256": "00", "services": []}`, "field /tokenSHA256"},
		{"owner is standby", KindAssignment, "s", `{"service": "s", "nextGroup": 1, "groups": [{"id": 0, "slices": [{"first": 0, "last": 1}], "owner": {"name": "a"}, "standby": {"name": "a"}, "witness": {}, "epoch": 1, "grantors": []}]}`, "field /groups/0/owner"},
		{"date", KindContract, "c", `{"customer": "c", "end": "31.12.2027"}`, "/end"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Decode(c.kind, c.id, []byte(c.spec))
			require.ErrorContains(t, err, c.want)
		})
	}
}

func TestDateIsInclusive(t *testing.T) {
	d := NewDate(time.Date(2028, 11, 30, 5, 0, 0, 0, time.UTC))
	require.False(t, d.Passed(time.Date(2028, 11, 30, 23, 59, 59, 999, time.UTC)))
	require.True(t, d.Passed(time.Date(2028, 12, 1, 0, 0, 0, 0, time.UTC)))
	require.False(t, Date{}.Passed(time.Date(3000, 1, 1, 0, 0, 0, 0, time.UTC)))
}

func FuzzDecode(f *testing.F) {
	f.Add("service", goodService)
	f.Add("contract", goodContract)
	f.Add("service", `{"name": "shelf", "slots": -1e400}`)
	f.Add("assignment", `{"service": "s", "groups": [null]}`)
	f.Add("vm", `{"name": " "}`)
	f.Add("assigner", `[]`)
	f.Fuzz(func(t *testing.T, kind, spec string) {
		for _, name := range []string{"shelf", "c", "s"} {
			o, err := Decode(Kind(kind), name, []byte(spec))
			if err != nil {
				continue
			}
			// A valid object must still be valid after a round trip through
			// the store.
			text, err := json.Marshal(o)
			require.NoError(t, err)
			_, err = Decode(Kind(kind), name, text)
			require.NoError(t, err)
		}
	})
}

// Guards against an odd object of another writer that ends each process that reads it, or that is taken as it is.
func TestOddObjectIsRefused(t *testing.T) {
	const depth = 1 << 19
	deep := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	target := `{"name":"shelf","keyed":true,"slots":2,"connections":10,"targets":[{"name":"t-1","addr":"%s","dataCentre":"a"}]}`
	for _, spec := range []string{
		deep, `{"name":` + deep + `}`, fmt.Sprintf(target, "127.0.0.1:99999"), fmt.Sprintf(target, "127.0.0.1:0"), fmt.Sprintf(target, ":80"), fmt.Sprintf(target, "127.0.0.1"),
		`{"name":"shelf","slots":1e300}`, `{"name":"shelf","slots":1e400}`,
	} {
		_, err := Decode(KindService, "shelf", []byte(spec))
		require.Error(t, err, "%.80s", spec)
	}
	_, err := Decode(KindService, "shelf", fmt.Appendf(nil, target, "127.0.0.1:80"))
	require.NoError(t, err)
}
