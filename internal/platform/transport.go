package platform

import (
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"hemlockquay/internal/budget"
)

// TransportError classifies the error of an HTTP call without a response: ErrUnavailable
// if the request was certainly not sent, which only a failed dial shows, and ErrAmbiguous
// otherwise.
func TransportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Join(ErrUnavailable, err)
	}
	return errors.Join(ErrAmbiguous, err)
}

// StatusError maps an HTTP status to an error, nil for a success. Only a client error says that a
// write had no effect. Any other status is ErrAmbiguous: a server error may arise after the write
// took effect, and a status that the protocol does not use says nothing about it.
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
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return fmt.Errorf("store rejected the call: status %d", status)
	}
	return fmt.Errorf("status %d: %w", status, ErrAmbiguous)
}

// decode decodes a JSON text into out, which may do so itself.
func decode(text []byte, out any) error {
	if own, ok := out.(encoding.TextUnmarshaler); ok {
		return own.UnmarshalText(text)
	}
	return json.Unmarshal(text, out)
}

// DecodeResponse decodes the body of a successful response, of at most most bytes, into out. While it does, the body has memory
// reserved in a share, which may be nil.
// It reads the body to its end, so that the connection can be reused. If that fails, the
// error is ErrAmbiguous, because the call was carried out.
func DecodeResponse(body io.Reader, most int64, memory *budget.Share, out any) error {
	held := budget.Reader{In: io.LimitReader(body, most), Share: memory}
	defer held.Release()
	text, err := io.ReadAll(&held)
	if err == nil {
		err = decode(text, out)
	}
	if err != nil {
		return fmt.Errorf("read answer: %w", errors.Join(ErrAmbiguous, err))
	}
	return nil
}
