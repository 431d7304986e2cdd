package storerelay

import (
	"errors"
	"fmt"

	"hemlockquay/internal/model"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/platform"
)

// outcome is the class of a relayed call's error. The classes of package platform do not
// survive net/rpc, which carries an error as text.
type outcome uint8

const (
	succeeded outcome = iota
	notFound
	conflict
	unavailable
	ambiguous
	otherError
)

// outcomeErrors pairs the outcomes with the errors of package platform. An error that joins
// several is of the first that it matches: an ambiguous write must not pass for one
// without effect.
var outcomeErrors = []struct {
	outcome outcome
	err     error
}{
	{ambiguous, platform.ErrAmbiguous},
	{unavailable, platform.ErrUnavailable},
	{notFound, platform.ErrNotFound},
	{conflict, platform.ErrConflict},
}

// Reply is the answer to a relayed call.
type Reply struct {
	Object  platform.Object  `msgpack:"o"`
	Listing platform.Listing `msgpack:"l"`
	Outcome outcome          `msgpack:"c"`
	// Text describes the error of a call that did not succeed.
	Text string `msgpack:"t"`
}

// ListArgs names the kind of the objects to list.
type ListArgs struct {
	Kind model.Kind `msgpack:"k"`
}

func (r *Reply) setError(err error) {
	if err == nil {
		return
	}
	r.Outcome, r.Text = otherError, err.Error()
	for _, c := range outcomeErrors {
		if errors.Is(err, c.err) {
			r.Outcome = c.outcome
			return
		}
	}
}

// err returns the error of the call at the store, of its class in package platform.
func (r *Reply) err(relay string) error {
	if r.Outcome == succeeded {
		return nil
	}
	for _, c := range outcomeErrors {
		if r.Outcome == c.outcome {
			return fmt.Errorf("through %s: %s: %w", relay, r.Text, c.err)
		}
	}
	return fmt.Errorf("through %s: %s", relay, r.Text)
}

// transportError classifies the error of the call to the relay itself. A relay that took
// the call may have passed it on.
func transportError(relay string, err error) error {
	class := platform.ErrAmbiguous
	if errors.Is(err, peer.ErrNotSent) {
		class = platform.ErrUnavailable
	}
	return fmt.Errorf("through %s: %w", relay, errors.Join(class, err))
}
