package lease

import (
	"encoding/json"
	"fmt"
)

// storedRecord is the form in which a record is stored: each owner once, and the slices as parallel
// lists. A record that repeats the owner for each slice saturates a slow link when many slices move.
type storedRecord struct {
	Service     string
	Epoch       uint64
	Holder      string
	HolderAddr  string
	Incarnation uint64
	Resigned    bool `json:",omitempty"`
	// EarlierMs is Record.Earlier in milliseconds. Programs that do not know it leave it out, which is not the same as 0.
	EarlierMs *int64 `json:",omitempty"`
	Owners    []Owner
	// From holds the first key of each slice, Owner the index of the owner of each slice in Owners.
	From  []uint16
	Owner []int
	// Previous maps the index of a slice that has a previous owner to the index of that owner in Owners.
	Previous map[int]int `json:",omitempty"`
	// Standby does the same for standbys.
	Standby map[int]int `json:",omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (r Record) MarshalJSON() ([]byte, error) {
	var owners interner[Owner]
	out := storedRecord{
		Service: r.Service, Epoch: r.Epoch, Holder: r.Holder, HolderAddr: r.HolderAddr, Incarnation: r.Incarnation, Resigned: r.Resigned,
		EarlierMs: r.Earlier.milliseconds(),
		From:      make([]uint16, len(r.Slices)), Owner: make([]int, len(r.Slices)), Previous: make(map[int]int), Standby: make(map[int]int),
	}
	for i, s := range r.Slices {
		out.From[i], out.Owner[i] = s.From, owners.index(s.Owner)
		if s.Previous.Known() {
			out.Previous[i] = owners.index(s.Previous)
		}
		if s.Standby.Known() {
			out.Standby[i] = owners.index(s.Standby)
		}
	}
	out.Owners = owners.values
	return json.Marshal(out)
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Record) UnmarshalJSON(text []byte) error {
	var in storedRecord
	if err := json.Unmarshal(text, &in); err != nil {
		return err
	}
	if len(in.Owner) != len(in.From) {
		return fmt.Errorf("decode record of service %s: %d owner indexes for %d slices", in.Service, len(in.Owner), len(in.From))
	}
	out := Record{
		Service: in.Service, Epoch: in.Epoch, Holder: in.Holder, HolderAddr: in.HolderAddr, Incarnation: in.Incarnation, Resigned: in.Resigned,
		Earlier: arrivalOf(in.EarlierMs),
		Slices:  make([]Slice, len(in.From)),
	}
	for i := range out.Slices {
		to := keySpace - 1
		if i+1 < len(in.From) {
			to = int(in.From[i+1]) - 1
		}
		s := Slice{From: in.From[i], To: uint16(max(to, 0))}
		var err error
		if s.Owner, err = in.ownerAt(in.Owner[i]); err != nil {
			return err
		}
		if at, ok := in.Previous[i]; ok {
			if s.Previous, err = in.ownerAt(at); err != nil {
				return err
			}
		}
		if at, ok := in.Standby[i]; ok {
			if s.Standby, err = in.ownerAt(at); err != nil {
				return err
			}
		}
		out.Slices[i] = s
	}
	*r = out
	return nil
}

// ownerAt returns the owner at an index of Owners.
func (s *storedRecord) ownerAt(at int) (Owner, error) {
	if at < 0 || at >= len(s.Owners) {
		return Owner{}, fmt.Errorf("decode record of service %s: owner index %d, but there are %d owners", s.Service, at, len(s.Owners))
	}
	if !s.Owners[at].Known() {
		return Owner{}, fmt.Errorf("decode record of service %s: owner %d has no ID", s.Service, at)
	}
	return s.Owners[at], nil
}
