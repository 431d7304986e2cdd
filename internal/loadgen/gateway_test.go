package loadgen

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
)

var gatewayHeaders = GatewayHeaders{RequestID: "Id", DeadlineMs: "Deadline", Key: "Key", Stamp: "Stamp"}

// serveGateway simulates a gateway whose answer depends on the prefix of the path.
func serveGateway(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/readyz":
	case r.Header.Get("Id") == "" || r.Header.Get("Deadline") == "":
		w.WriteHeader(http.StatusBadRequest)
	case strings.HasPrefix(r.URL.Path, "/whole/") && r.Header.Get("Key") != "":
		w.Header().Set("Stamp", "t-1")
		fmt.Fprintf(w, "t-1 %s", r.URL.Path)
	case strings.HasPrefix(r.URL.Path, "/other/"):
		w.Header().Set("Stamp", "t-1")
		fmt.Fprint(w, "t-1 /other/another")
	case strings.HasPrefix(r.URL.Path, "/full/"):
		w.WriteHeader(http.StatusServiceUnavailable)
	case strings.HasPrefix(r.URL.Path, "/broken/"):
		w.WriteHeader(http.StatusBadGateway)
	default:
		panic(http.ErrAbortHandler)
	}
}

// Sends load to a gateway that is not ready and to one that answers in every way. Guards against a
// report that confuses the outcomes or is complete without a whole answer to each request.
func TestGatewayReportSeparatesOutcomes(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(serveGateway))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	p := &GatewayLoad{
		Addrs: []string{"127.0.0.1:1", addr}, Admins: []string{"127.0.0.1:1", addr}, Rate: 100, Duration: model.Duration(time.Second), Headers: gatewayHeaders,
		Routes: []GatewayRoute{{Host: "h", Path: "/whole/", Keyed: true}, {Path: "/other/"}, {Path: "/full/"}, {Path: "/broken/"}, {Path: "/cut/"}},
	}
	require.NoError(t, p.Check())
	r := RunGatewayLoad(t.Context(), p)
	require.EqualValues(t, 100, r.Asked)
	require.Equal(t, r.Asked, r.Whole+r.Wrong+r.Refused+r.Failed+r.Lost)
	require.Positive(t, r.Whole)
	require.Positive(t, r.Wrong)
	require.Positive(t, r.Refused)
	require.Positive(t, r.Failed)
	require.GreaterOrEqual(t, r.Lost, int64(20))
	require.False(t, r.Complete())
	var text bytes.Buffer
	r.Text(&text)
	require.Contains(t, text.String(), "asked 100, whole ")
	require.True(t, (&GatewayReport{Asked: 3, Whole: 3}).Complete())
	require.False(t, (&GatewayReport{}).Complete(), "a report without requests is not complete")
}

func TestGatewayLoadIsChecked(t *testing.T) {
	good := GatewayLoad{Addrs: []string{"a"}, Admins: []string{"b"}, Rate: 1, Routes: []GatewayRoute{{Path: "/"}}, Headers: gatewayHeaders}
	require.NoError(t, good.Check())
	require.Equal(t, defaultDuration, good.Duration)
	for pointer, spoil := range map[string]func(p *GatewayLoad){
		"/admins":   func(p *GatewayLoad) { p.Admins = nil },
		"/rate":     func(p *GatewayLoad) { p.Rate = 0 },
		"/duration": func(p *GatewayLoad) { p.Duration = -1 },
		"/routes":   func(p *GatewayLoad) { p.Routes = nil },
		"/headers":  func(p *GatewayLoad) { p.Headers.Stamp = "" },
	} {
		bad := good
		spoil(&bad)
		require.ErrorContains(t, bad.Check(), pointer)
	}
}
