package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

// TransportError returns the error of an HTTP call that brought no answer:
// ErrUnavailable for a call that never left, ErrAmbiguous for one whose answer was lost.
// Only a failed dial is certain.
func TransportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Join(ErrUnavailable, err)
	}
	return errors.Join(ErrAmbiguous, err)
}

// StatusError reads the status of an answer over HTTP; nil for a success. A server
// error may come from behind the write.
func StatusError(status int) error {
	switch status {
	case http.StatusOK, http.StatusCreated:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrGone
	case http.StatusTooManyRequests:
		return fmt.Errorf("status %d: %w", status, ErrUnavailable)
	}
	if status >= http.StatusInternalServerError {
		return fmt.Errorf("status %d: %w", status, ErrAmbiguous)
	}
	return fmt.Errorf("store refused: status %d", status)
}

// ReadAnswer reads a success's body, most bytes at most, to its end, so that the
// connection is kept, into out. A broken one is ErrAmbiguous: the call was carried out.
func ReadAnswer(body io.Reader, most int64, out any) error {
	text, err := io.ReadAll(io.LimitReader(body, most))
	if err == nil {
		err = json.Unmarshal(text, out)
	}
	if err != nil {
		return fmt.Errorf("read answer: %w", errors.Join(ErrAmbiguous, err))
	}
	return nil
}
