package dispatch

import (
	"time"

	"hemlockquay/internal/problem"
	"hemlockquay/internal/wire"
)

// noSuspects lets everything run.
type noSuspects struct{}

func (noSuspects) Admit(string, *wire.Request, time.Time) (Admission, *problem.Error) {
	return AdmitRun, nil
}
func (noSuspects) Started(string, *wire.Request, time.Time)        {}
func (noSuspects) Finished(string, *wire.Request, bool, time.Time) {}
func (noSuspects) Died(string, []*wire.Request, time.Time)         {}
