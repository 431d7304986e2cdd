package objectapi

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/platform"
)

func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// oddItems are items that cannot be decoded.
var oddItems = map[string]string{
	"spec nested deep":     `{"metadata":{"name":"customer.odd","resourceVersion":"7"},"spec":` + nested(20000) + `}`,
	"unknown nested deep":  `{"metadata":{"name":"customer.odd","resourceVersion":"7"},"spec":{},"odd":` + nested(20000) + `}`,
	"metadata nested deep": `{"metadata":` + nested(20000) + `,"spec":{}}`,
	"version too large":    `{"metadata":{"name":"customer.odd","resourceVersion":"1e30"},"spec":{}}`,
	"version a number":     `{"metadata":{"name":"customer.odd","resourceVersion":7},"spec":{}}`,
	"name without a kind":  `{"metadata":{"name":"odd","resourceVersion":"7"},"spec":{}}`,
	"name a number":        `{"metadata":{"name":7,"resourceVersion":"7"},"spec":{}}`,
	"no object":            `"odd"`,
	"null":                 `null`,
}

func serveText(t *testing.T, text string) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }))
	t.Cleanup(server.Close)
	return New(server.URL)
}

func sound(name string, version int) string {
	return fmt.Sprintf(`{"metadata":{"name":"customer.%s","resourceVersion":"%d"},"spec":{"sound":true}}`, name, version)
}

// names returns the names of sound objects.
func names(objects []platform.Object) (out []string) {
	for _, o := range objects {
		if string(o.Spec) == `{"sound":true}` {
			out = append(out, o.Name)
		}
	}
	return out
}

// Guards against an odd item of another writer that ends each list and watch.
func TestOddItemCostsOnlyItself(t *testing.T) {
	for name, odd := range oddItems {
		t.Run(name, func(t *testing.T) {
			list, err := serveText(t, `{"metadata":{"resourceVersion":"9"},"items":[`+sound("first", 5)+`,`+odd+`,`+sound("second", 9)+`]}`).List(t.Context())
			require.NoError(t, err)
			require.EqualValues(t, 9, list.Revision)
			require.Equal(t, []string{"first", "second"}, names(list.Objects))

			var got []platform.Object
			event := `{"type":"MODIFIED","object":` + "%s}\n"
			c := serveText(t, fmt.Sprintf(event, sound("first", 5))+fmt.Sprintf(event, odd)+fmt.Sprintf(event, sound("second", 9)))
			refused := 0
			c.OnRefused(func(platform.Refused) { refused++ })
			last := uint64(1)
			err = c.Watch(t.Context(), last, func(e platform.Event) error {
				require.GreaterOrEqual(t, e.Revision, last)
				last = e.Revision
				got = append(got, e.Object)
				return nil
			})
			require.ErrorIs(t, err, platform.ErrAmbiguous, "the watch has ended")
			require.Equal(t, []string{"first", "second"}, names(got))
		})
	}
}

// Guards against an event without end that is kept until memory is used up.
func TestEventWithoutEndEndsTheWatch(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write([]byte(strings.Repeat("[", 1<<20))); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	require.Error(t, New(server.URL).Watch(t.Context(), 1, func(platform.Event) error { return nil }))
}

// Guards against an odd entry in the list of VMs that ends each reading of it.
func TestOddVMCostsOnlyItself(t *testing.T) {
	sound := `{"name":"vm-1","dataCentre":"a","agentAddr":"127.0.0.1:1","state":"live"}`
	for name, odd := range map[string]string{
		"nested deep":    `{"name":"odd","agentAddr":"127.0.0.1:1","odd":` + nested(20000) + `}`,
		"port too large": `{"name":"odd","agentAddr":"127.0.0.1:99999"}`,
		"no port":        `{"name":"odd"}`,
		"no name":        `{"agentAddr":"127.0.0.1:1"}`,
		"name a number":  `{"name":7,"agentAddr":"127.0.0.1:1"}`,
		"null":           `null`,
	} {
		c := serveText(t, `{"items":[`+odd+`,`+sound+`]}`)
		refused := 0
		c.OnRefused(func(platform.Refused) { refused++ })
		vms, err := c.VMs(t.Context())
		require.NoError(t, err, name)
		require.Equal(t, []platform.VM{{Name: "vm-1", DataCentre: "a", AgentAddr: "127.0.0.1:1", State: platform.VMLive}}, vms, name)
		require.Equal(t, 1, refused, name)
	}
}
