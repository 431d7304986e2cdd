package ctl

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/standin/link/linktest"
)

// Guards against a broken answer of a daemon that is shown as its state.
func TestBrokenAnswerOfADaemonIsAnError(t *testing.T) {
	for _, e := range linktest.BrokenReplies(`{"sections":[]}`) {
		t.Run(e.Name, func(t *testing.T) {
			f := &Fleet{HTTP: NewHTTPClient()}
			var out struct{}
			require.Error(t, f.get(t.Context(), linktest.ServeReplies(t, "Id", e.Reply).Addr, "/dump", &out))
		})
	}
}
