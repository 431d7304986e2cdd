package storerelay

import (
	"errors"
	"fmt"

	"hemlockquay/internal/model"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/platform"
)

// outcome is the error class of a relayed call. It is sent in the reply, because net/rpc carries
// an error only as text and loses its class.
type outcome uint8

const (
	succeeded outcome = iota
	notFound
	conflict
	unavailable
	ambiguous
	otherError
)

// outcomeErrors maps outcomes to the errors of package platform. An error that joins several
// of them takes the first match, so that an ambiguous write is never reported as one without
// effect.
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
	// Text is the error text of a failed call.
	Text string `msgpack:"t"`
}

// ListArgs are the arguments of Store.ListKind.
type ListArgs struct {
	Kind model.Kind `msgpack:"k"`
}

// setError records the error of a call to the store, if any, with its class.
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

// err returns the error of the relay's call to the store, wrapping the error of package platform
// that stands for its class.
func (r *Reply) err(relay string) error {
	if r.Outcome == succeeded {
		return nil
	}
	for _, c := range outcomeErrors {
		if r.Outcome == c.outcome {
			return fmt.Errorf("store call through relay %s: %s: %w", relay, r.Text, c.err)
		}
	}
	return fmt.Errorf("store call through relay %s: %s", relay, r.Text)
}

// transportError classifies the error of the call to the relay itself. Unless the call was
// certainly not sent, the relay may have forwarded it, so the outcome is ambiguous.
func transportError(relay string, err error) error {
	class := platform.ErrAmbiguous
	if errors.Is(err, peer.ErrNotSent) {
		class = platform.ErrUnavailable
	}
	return fmt.Errorf("call relay %s: %w", relay, errors.Join(class, err))
}
