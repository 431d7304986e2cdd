package platform

import (
	"errors"
	"net"
)

// TransportError reads the error of an HTTP call that brought no answer: it tells
// a call that never left (ErrUnavailable) from one whose answer is lost
// (ErrAmbiguous). Only a failed dial is certain.
func TransportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Join(ErrUnavailable, err)
	}
	return errors.Join(ErrAmbiguous, err)
}
