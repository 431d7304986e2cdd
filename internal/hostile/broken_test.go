package hostile

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/problem"
	"hemlockquay/internal/standin/fleet"
	"hemlockquay/internal/standin/link/linktest"
)

// brokenExchanges are exchanges whose replies are no answers, with uploads that all programs accept.
func brokenExchanges() []linktest.Exchange {
	all := slices.Concat(linktest.Cuts(), linktest.BrokenStatuses(), linktest.BrokenNames())
	return slices.DeleteFunc(all, func(e linktest.Exchange) bool { return e.Upload > 64<<10 })
}

// serveBroken starts a server of the exchanges by path, and of a sound answer to all else. idHeader carries the ids of requests.
func serveBroken(t *testing.T, idHeader string, exchanges []linktest.Exchange) *linktest.Server {
	t.Helper()
	var replies []linktest.Reply
	for _, e := range append(exchanges, linktest.SoundNames()[0]) {
		e.Reply.Text = strings.ReplaceAll(e.Reply.Text, "\r\nId: $id", "\r\n"+idHeader+": $id")
		replies = append(replies, e.Reply)
	}
	return linktest.ServeRepliesByPath(t, idHeader, replies...)
}

// requireNoAnswer sends a request and checks that its caller gets a failure of the program's own, with a status from want.
func requireNoAnswer(t *testing.T, name, addr, path string, upload int, change func(*http.Request), want ...int) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(strings.Repeat("x", upload)))
	require.NoError(t, err)
	change(req)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err, name)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err, name)
	if resp.StatusCode == http.StatusTooManyRequests && resp.Header.Get(problem.Header) == string(problem.RanNo) {
		// The customer is over its rate.
		time.Sleep(50 * time.Millisecond)
		requireNoAnswer(t, name, addr, path, upload, change, want...)
		return
	}
	require.Contains(t, want, resp.StatusCode, "%s: %.200q", name, body)
	require.NotContains(t, string(body), "first part", name)
	require.False(t, bytes.HasPrefix(body, []byte("bo")), "%s: %.200q", name, body)
}

// Guards against callers of hq-gateway that get an invalid status, a malformed header or a truncated answer of a target.
func TestBrokenAnswersReachNoCallerOfTheGateway(t *testing.T) {
	exchanges := brokenExchanges()
	server := serveBroken(t, "X-Request-Id", exchanges)
	const repeatable = "repeatable-odd.example"
	once := strings.Replace(fleet.IdempotentRoute("once-odd", oddHost, "odd"), `"idempotent"`, `"non_idempotent"`, 1)
	s := newSiteWith(t, siteOptions{targets: 1, routes: once + fleet.IdempotentRoute("repeatable-odd", repeatable, "odd"), addrs: []string{server.Addr}})
	for i, e := range exchanges {
		for _, host := range []string{oddHost, repeatable} {
			before := server.Requests.Load()
			requireNoAnswer(t, e.Name+" "+host, s.settings.Front, fmt.Sprintf("/reply-%d", i), e.Upload, func(r *http.Request) {
				r.Host = host
				r.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", host, i))
			}, http.StatusBadGateway)
			if host == oddHost {
				require.LessOrEqual(t, server.Requests.Load(), before+1, "%s: sent again", e.Name)
			}
		}
	}
	s.requireServed()
	s.check()
}

// Guards against callers of hq-entry that get an invalid status, a malformed header or a truncated answer of a target.
func TestBrokenAnswersReachNoCallerOfTheEntry(t *testing.T) {
	exchanges := brokenExchanges()
	server := serveBroken(t, "Hq-Request-Id", exchanges)
	addrs := regexp.MustCompile(`"addr": *"[^"]*"`)
	l := newLabWith(t, func(dir string) {
		files, err := filepath.Glob(filepath.Join(dir, "service.*"))
		require.NoError(t, err)
		for _, f := range files {
			text, err := os.ReadFile(f)
			require.NoError(t, err)
			require.True(t, addrs.Match(text))
			require.NoError(t, os.WriteFile(f, addrs.ReplaceAll(text, []byte(`"addr": "`+server.Addr+`"`)), 0o600))
		}
	})
	for i, e := range exchanges {
		requireNoAnswer(t, e.Name, l.addr, fmt.Sprintf("/s/booth/reply-%d", i), e.Upload, func(r *http.Request) {
			r.Header.Set("Authorization", "Bearer token")
		}, http.StatusBadGateway, http.StatusGatewayTimeout)
	}
	l.requireServed()
}

// Guards against an answer of the store with an invalid status that counts as an empty list of routes or targets.
func TestStoreAnswersWithoutAStatus(t *testing.T) {
	requireStoreBorne(t, "HTTP/1.1 000 Trouble\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}", repeat("\r\n"))
}
