package mesh

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	_ "hemlockquay/internal/fixedseed"
)

// plainHeartbeat is a Heartbeat that the library encodes.
type plainHeartbeat Heartbeat

func encode(t require.TestingT, v any) []byte {
	var out bytes.Buffer
	enc := msgpack.NewEncoder(&out)
	enc.UseCompactInts(true)
	enc.SetOmitEmpty(true)
	require.NoError(t, enc.Encode(v))
	return out.Bytes()
}

// Guards against a field of a heartbeat that is not sent, or sent in a form that other versions do not read.
func TestHeartbeatIsEncodedAsTheLibraryDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.Make[Heartbeat]().Draw(t, "heartbeat")
		plain := plainHeartbeat(b)
		got, want := encode(t, &b), encode(t, &plain)
		require.Equal(t, want, got)
		var decoded Heartbeat
		require.NoError(t, msgpack.Unmarshal(got, &decoded))
		require.Equal(t, got, encode(t, &decoded))
	})
}

// Guards against a new field that the encoder does not know.
func TestEachFieldOfAHeartbeatIsEncoded(t *testing.T) {
	typ := reflect.TypeFor[Heartbeat]()
	for i := range typ.NumField() {
		rapid.Check(t, func(t *rapid.T) {
			var b Heartbeat
			field := reflect.ValueOf(&b).Elem().Field(i)
			drawn := reflect.ValueOf(rapid.Make[Heartbeat]().Filter(func(b Heartbeat) bool {
				f := reflect.ValueOf(b).Field(i)
				return !f.IsZero() && (f.Kind() != reflect.Slice || f.Len() > 0)
			}).Draw(t, "heartbeat"))
			field.Set(drawn.Field(i))
			require.Greater(t, len(encode(t, &b)), 1, typ.Field(i).Name)
		})
	}
}

func BenchmarkHeartbeatEncode(b *testing.B) {
	h := &Heartbeat{From: Member{VM: "edge-a-1", Addr: "10.0.0.1:8001", DataCentre: "a", Incarnation: 1 << 60, LinkMbps: 10}, ConfigVersion: 16, TargetsRevision: 5000, SentMs: 1 << 30, EchoMs: 1 << 30, Targets: 261, KnowsStandbys: true}
	h.Leases = []LeaseVersion{{"s", 3, 70}, {"t", 2, 90}}
	for i := range 40 {
		h.Loads = append(h.Loads, NewLoad(uint32(i*7919)<<8, 2))
	}
	enc := msgpack.NewEncoder(new(discard))
	enc.UseCompactInts(true)
	enc.SetOmitEmpty(true)
	for b.Loop() {
		_ = enc.Encode(h)
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
