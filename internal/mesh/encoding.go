package mesh

import (
	"github.com/vmihailenco/msgpack/v5"

	"hemlockquay/internal/decide/freshness"
)

var _ msgpack.CustomEncoder = (*Heartbeat)(nil)

// EncodeMsgpack implements msgpack.CustomEncoder. It writes the same map as the library's encoder of structs, without
// empty fields. The library allocates twice for each field to find those, which took most of the processor time of
// encoding.
func (b *Heartbeat) EncodeMsgpack(enc *msgpack.Encoder) error { return writeMap(enc, b) }

// fields is a struct whose fields are written as a map.
type fields interface{ writeFields(w *fieldWriter) }

// fieldWriter counts or writes the fields that are not empty.
type fieldWriter struct {
	// enc is nil while fields are counted.
	enc   *msgpack.Encoder
	count int
	err   error
}

func writeMap(enc *msgpack.Encoder, f fields) error {
	var w fieldWriter
	f.writeFields(&w)
	w.enc = enc
	w.err = enc.EncodeMapLen(w.count)
	f.writeFields(&w)
	return w.err
}

// begin counts a field or writes its name, unless it is empty. It reports whether the value has to be written.
func (w *fieldWriter) begin(name string, empty bool) bool {
	switch {
	case empty || w.err != nil:
		return false
	case w.enc == nil:
		w.count++
		return false
	}
	w.err = w.enc.EncodeString(name)
	return w.err == nil
}

func (w *fieldWriter) uint(name string, v uint64) {
	if w.begin(name, v == 0) {
		w.err = w.enc.EncodeUint(v)
	}
}

func (w *fieldWriter) bool(name string, v bool) {
	if w.begin(name, !v) {
		w.err = w.enc.EncodeBool(v)
	}
}

func (w *fieldWriter) string(name, v string) {
	if w.begin(name, v == "") {
		w.err = w.enc.EncodeString(v)
	}
}

func (w *fieldWriter) nested(name string, empty bool, f fields) {
	if w.begin(name, empty) {
		w.err = writeMap(w.enc, f)
	}
}

// list writes a slice of values that the library encodes.
func list[T any](w *fieldWriter, name string, values []T) {
	if w.begin(name, len(values) == 0) {
		w.err = w.enc.Encode(values)
	}
}

func numbers[T ~uint32](w *fieldWriter, name string, values []T) {
	if !w.begin(name, len(values) == 0) {
		return
	}
	w.err = w.enc.EncodeArrayLen(len(values))
	for _, v := range values {
		if w.err == nil {
			w.err = w.enc.EncodeUint(uint64(v))
		}
	}
}

func (w *fieldWriter) leases(name string, versions []LeaseVersion) {
	if !w.begin(name, len(versions) == 0) {
		return
	}
	w.err = w.enc.EncodeArrayLen(len(versions))
	for i := range versions {
		if w.err == nil {
			w.err = writeMap(w.enc, &versions[i])
		}
	}
}

func (b *Heartbeat) writeFields(w *fieldWriter) {
	w.nested("f", b.From == Member{}, &b.From)
	w.bool("l", b.Leaving)
	w.bool("b", b.Brief)
	w.bool("x", b.StoreLost)
	w.bool("y", b.StoreRelayed)
	w.bool("p", b.StoreAnswered)
	w.uint("c", b.ConfigVersion)
	w.uint("t", b.TargetsRevision)
	w.nested("k", b.ConfigMark == freshness.Mark{}, (*markFields)(&b.ConfigMark))
	w.nested("j", b.TargetsMark == freshness.Mark{}, (*markFields)(&b.TargetsMark))
	w.nested("q", b.EvacuationsMark == freshness.Mark{}, (*markFields)(&b.EvacuationsMark))
	w.uint("z", b.EvacuationsRevision)
	list(w, "e", b.Evacuated)
	list(w, "a", b.Returns)
	w.uint("i", b.SentMs)
	w.uint("g", b.EchoMs)
	w.uint("n", uint64(b.Targets))
	w.leases("m", b.Leases)
	numbers(w, "o", b.Loads)
	list(w, "r", b.Crashes)
	w.bool("d", b.KnowsStandbys)
	w.bool("u", b.CutOff)
	list(w, "h", b.TargetReports)
	numbers(w, "w", b.Unreached)
}

func (m *Member) writeFields(w *fieldWriter) {
	w.string("v", m.VM)
	w.string("a", m.Addr)
	w.string("d", m.DataCentre)
	w.uint("i", m.Incarnation)
	w.uint("l", uint64(m.LinkMbps))
}

func (v *LeaseVersion) writeFields(w *fieldWriter) {
	w.string("s", v.Service)
	w.uint("e", v.Epoch)
	w.uint("q", v.Seq)
}

type markFields freshness.Mark

func (m *markFields) writeFields(w *fieldWriter) {
	w.uint("c", m.Count)
	w.uint("r", m.Revision)
	w.uint("v", m.Version)
	w.uint("n", m.Newest)
	w.uint("a", uint64(m.AgeMs))
}
