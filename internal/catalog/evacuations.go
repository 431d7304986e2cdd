package catalog

import "slices"

// Evacuations says which data centres are evacuated: operators want no requests to be sent to the
// targets there. It is immutable.
type Evacuations struct {
	// Revision is the store's revision up to which all changes are included, or 0 if nothing is known.
	Revision uint64
	// DataCentres is sorted.
	DataCentres []string
}

// Contains reports whether a data centre is evacuated.
func (e Evacuations) Contains(dataCentre string) bool {
	_, found := slices.BinarySearch(e.DataCentres, dataCentre)
	return found
}

// NewEvacuations returns the evacuations of a complete list.
func NewEvacuations(revision uint64, dataCentres []string) Evacuations {
	sorted := slices.Clone(dataCentres)
	slices.Sort(sorted)
	return Evacuations{Revision: revision, DataCentres: slices.Compact(sorted)}
}

// With returns the evacuations after a data centre was evacuated or taken back at a later revision. It
// returns e if the change is included already.
func (e Evacuations) With(dataCentre string, evacuated bool, revision uint64) Evacuations {
	if revision <= e.Revision {
		return e
	}
	next := Evacuations{Revision: revision, DataCentres: slices.Clone(e.DataCentres)}
	i, found := slices.BinarySearch(next.DataCentres, dataCentre)
	switch {
	case evacuated && !found:
		next.DataCentres = slices.Insert(next.DataCentres, i, dataCentre)
	case !evacuated && found:
		next.DataCentres = slices.Delete(next.DataCentres, i, i+1)
	}
	return next
}
