package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/budget"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

const testToken = "secret"

var today = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func storedObject(t testing.TB, kind model.Kind, name string, v any) platform.Object {
	t.Helper()
	spec, err := json.Marshal(v)
	require.NoError(t, err)
	return platform.Object{Kind: kind, Name: name, Version: 1, Spec: spec}
}

// testView returns a view with a keyed service, an unkeyed one that ended yesterday, and one
// customer with a contract for both.
func testView(t testing.TB, change func(*model.Contract)) *view.View {
	t.Helper()
	targets := []model.Target{{Name: "t1", Addr: "127.0.0.1:1", DataCentre: "dc1"}}
	shelf := model.Service{Name: "shelf", Keyed: true, Targets: targets, Slots: 2, Connections: 10, MaxBody: 16}
	ended := model.Service{Name: "ended", Targets: targets, Slots: 2, Connections: 10, Shutdown: model.NewDate(today.AddDate(0, 0, -1))}
	sum := sha256.Sum256([]byte(testToken))
	contract := model.Contract{Customer: "c1", TokenSHA256: hex.EncodeToString(sum[:])}
	for _, s := range []string{"shelf", "ended"} {
		contract.Services = append(contract.Services, model.Allowance{Service: s, Rate: 1, Burst: 1, Concurrency: 1})
	}
	if change != nil {
		change(&contract)
	}
	v := view.Build([]platform.Object{
		storedObject(t, model.KindService, "shelf", &shelf),
		storedObject(t, model.KindService, "ended", &ended),
		storedObject(t, model.KindContract, "c1", &contract),
	}, nil, nil)
	require.Empty(t, v.Problems)
	return v
}

func newTestRequest(change func(*http.Request)) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/s/shelf/a", nil)
	r.Header.Set("Authorization", "Bearer "+testToken)
	r.Header.Set("Hq-Key", "k")
	if change != nil {
		change(r)
	}
	return r
}

func withHeader(name string, values ...string) func(*http.Request) {
	return func(r *http.Request) { r.Header[name] = values }
}

func TestParserRefusesAmbiguousRequests(t *testing.T) {
	cases := []struct {
		name    string
		service string
		change  func(*http.Request)
		want    problem.Kind
	}{
		{"no token", "shelf", withHeader("Authorization"), problem.UnknownToken},
		{"empty token", "shelf", withHeader("Authorization", "Bearer "), problem.UnknownToken},
		{"wrong token", "shelf", withHeader("Authorization", "Bearer x"), problem.UnknownToken},
		{"other scheme", "shelf", withHeader("Authorization", "Basic "+testToken), problem.UnknownToken},
		{"two tokens", "shelf", withHeader("Authorization", "Bearer "+testToken, "Bearer x"), problem.UnknownToken},
		{"no key", "shelf", withHeader("Hq-Key"), problem.BadRequest},
		{"empty key", "shelf", withHeader("Hq-Key", ""), problem.BadRequest},
		{"two keys", "shelf", withHeader("Hq-Key", "a", "b"), problem.BadRequest},
		{"long key", "shelf", withHeader("Hq-Key", strings.Repeat("k", maxKeyBytes+1)), problem.BadRequest},
		{"deadline 0", "shelf", withHeader("Hq-Deadline-Ms", "0"), problem.BadRequest},
		{"deadline negative", "shelf", withHeader("Hq-Deadline-Ms", "-5"), problem.BadRequest},
		{"deadline word", "shelf", withHeader("Hq-Deadline-Ms", "soon"), problem.BadRequest},
		{"deadline huge", "shelf", withHeader("Hq-Deadline-Ms", "99999999999999999999"), problem.BadRequest},
		{"two deadlines", "shelf", withHeader("Hq-Deadline-Ms", "1", "2"), problem.BadRequest},
		{"idempotent word", "shelf", withHeader("Hq-Idempotent", "maybe"), problem.BadRequest},
		{"two idempotency keys", "shelf", withHeader("Idempotency-Key", "a", "b"), problem.BadRequest},
		{"unknown service", "nothing", nil, problem.UnknownService},
		{"service ended", "ended", nil, problem.OutsideContract},
	}
	rp, v := &requestParser{vm: "vm1"}, testView(t, nil)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, p := rp.parseHeaders(v, c.service, "/a", newTestRequest(c.change), today)
			require.NotNil(t, p)
			require.Equal(t, c.want, p.Kind, p.Detail)
			require.Equal(t, problem.RanNo, p.Ran)
			require.Equal(t, "vm1", p.Peer)
		})
	}
}

func TestParserReadsHeaders(t *testing.T) {
	rp, v := &requestParser{vm: "vm1"}, testView(t, nil)
	req, p := rp.parseHeaders(v, "shelf", "/a?q=1", newTestRequest(func(r *http.Request) {
		r.Method = http.MethodPost
		withHeader("Hq-Deadline-Ms", "250")(r)
		withHeader("Hq-Rank", "forged")(r)
		withHeader("Connection", "X-Hop")(r)
		withHeader("X-Hop", "1")(r)
		withHeader("X-End", "1")(r)
		withHeader("Idempotency-Key", "ik")(r)
	}), today)
	require.Nil(t, p)
	require.Equal(t, "k", req.wireRequest.Key)
	require.Equal(t, 250*time.Millisecond, req.wireRequest.Budget)
	require.False(t, req.wireRequest.Idempotent, "POST is not idempotent")
	require.Equal(t, "ik", req.wireRequest.IdempotencyKey)
	require.Equal(t, http.Header{"X-End": {"1"}, "Idempotency-Key": {"ik"}}, req.wireRequest.Header)
}

// Failure: a customer is refused during the last day of its contract. The contract states a day;
// if its first second in the local time zone were taken as the end, the customer would lose up to
// a day of service.
func TestContractIsValidUntilTheEndOfItsLastDayInUTC(t *testing.T) {
	rp := &requestParser{vm: "vm1"}
	v := testView(t, func(c *model.Contract) { c.End = model.NewDate(today) })
	last := time.Date(2026, 12, 2, 23, 59, 59, 0, time.UTC)
	_, p := rp.parseHeaders(v, "shelf", "/", newTestRequest(nil), last.In(time.FixedZone("east", 9*3600)))
	require.Nil(t, p)
	_, p = rp.parseHeaders(v, "shelf", "/", newTestRequest(nil), last.Add(time.Second).In(time.FixedZone("west", -9*3600)))
	require.NotNil(t, p)
	require.Equal(t, problem.OutsideContract, p.Kind)
}

func TestParserReadsBodyWithinLimit(t *testing.T) {
	rp, v := &requestParser{vm: "vm1"}, testView(t, nil)
	cases := []struct {
		name   string
		body   string
		length int64
		want   problem.Kind
	}{
		{"fits", strings.Repeat("b", 16), 16, ""},
		{"announced too large", "never read", 17, problem.TooLarge},
		{"unannounced too large", strings.Repeat("b", 17), -1, problem.TooLarge},
	}
	for _, c := range cases {
		r := newTestRequest(nil)
		req, p := rp.parseHeaders(v, "shelf", "/", r, today)
		require.Nil(t, p)
		r.Body, r.ContentLength = http.NoBody, c.length
		r.Body = readCloser{strings.NewReader(c.body)}
		p = rp.readBody(httptest.NewRecorder(), r, req, new(budget.Reader))
		if c.want == "" {
			require.Nil(t, p, c.name)
			require.Equal(t, wire.Sum([]byte(c.body)), req.wireRequest.Sum)
			continue
		}
		require.NotNil(t, p, c.name)
		require.Equal(t, c.want, p.Kind, c.name)
	}
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

func FuzzParseHeaders(f *testing.F) {
	f.Add("Bearer secret", "k", "100", "true", "ik", "Hq-Key")
	f.Add("", "", "", "", "", "")
	f.Add("Bearer secret", "\x00", "-1", "TRUE", " ", "Connection, ,")
	f.Add("Bearer secret", "k", "1e3", "", "", "close")
	rp, v := &requestParser{vm: "vm1"}, testView(f, nil)
	f.Fuzz(func(t *testing.T, auth, key, deadline, idempotent, idempotencyKey, connection string) {
		r := httptest.NewRequest(http.MethodPost, "/s/shelf/a", nil)
		for name, value := range map[string]string{
			"Authorization": auth, "Hq-Key": key, "Hq-Deadline-Ms": deadline,
			"Hq-Idempotent": idempotent, "Idempotency-Key": idempotencyKey, "Connection": connection,
		} {
			if value != "" {
				r.Header[name] = []string{value}
			}
		}
		req, p := rp.parseHeaders(v, "shelf", "/a", r, today)
		if p != nil {
			require.Equal(t, problem.RanNo, p.Ran, fmt.Sprint(p))
			return
		}
		require.NotEmpty(t, req.wireRequest.Key)
		require.Positive(t, req.wireRequest.Budget)
		require.LessOrEqual(t, req.wireRequest.Budget, req.service.MaxDeadline.D())
		for name := range req.wireRequest.Header {
			require.False(t, strings.HasPrefix(name, internalHeaderPrefix), name)
		}
	})
}
