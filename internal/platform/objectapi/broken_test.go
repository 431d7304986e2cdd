package objectapi

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/platform"
	"hemlockquay/internal/standin/link/linktest"
)

// Guards against a broken answer of the store that counts as the result of a read, or that says that a write was done or rejected.
func TestBrokenAnswersOfTheStoreSayNothing(t *testing.T) {
	written := `{"metadata":{"name":"customer.a","resourceVersion":"7"},"spec":{},"items":[]}`
	for _, e := range linktest.BrokenReplies(written) {
		t.Run(e.Name, func(t *testing.T) {
			client := New("http://" + linktest.ServeReplies(t, "Id", e.Reply).Addr)
			_, err := client.List(t.Context())
			require.ErrorIs(t, err, platform.ErrAmbiguous)
			_, err = client.VMs(t.Context())
			require.ErrorIs(t, err, platform.ErrAmbiguous)
			object := platform.Object{Kind: "customer", Name: "a", Version: 6, Spec: fmt.Appendf(nil, "%q", strings.Repeat("x", e.Upload))}
			_, err = client.Put(t.Context(), object)
			require.ErrorIs(t, err, platform.ErrAmbiguous)
		})
	}
}

// Guards against a write that counts as rejected because its answer has a status that stores do not use.
func TestUnusualStatusDoesNotRejectAWrite(t *testing.T) {
	for _, status := range []int{http.StatusAccepted, http.StatusNoContent, http.StatusNotModified, http.StatusInternalServerError, 599} {
		text := fmt.Sprintf("HTTP/1.1 %d Unusual\r\n\r\n", status)
		client := New("http://" + linktest.ServeReplies(t, "Id", linktest.Reply{Text: text, End: linktest.HalfClose}).Addr)
		_, err := client.Put(t.Context(), platform.Object{Kind: "customer", Name: "a", Version: 6, Spec: []byte(`{}`)})
		require.ErrorIs(t, err, platform.ErrAmbiguous, status)
	}
}
