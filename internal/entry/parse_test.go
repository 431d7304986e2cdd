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

	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

const testToken = "secret"

var today = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func stored(t testing.TB, kind model.Kind, name string, v any) platform.Object {
	t.Helper()
	spec, err := json.Marshal(v)
	require.NoError(t, err)
	return platform.Object{Kind: kind, Name: name, Version: 1, Spec: spec}
}

// testView has a keyed service, an unkeyed one that ended yesterday and one
// customer.
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
		stored(t, model.KindService, "shelf", &shelf),
		stored(t, model.KindService, "ended", &ended),
		stored(t, model.KindContract, "c1", &contract),
	}, nil, nil)
	require.Empty(t, v.Problems)
	return v
}

func parse(change func(*http.Request)) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/s/shelf/a", nil)
	r.Header.Set("Authorization", "Bearer "+testToken)
	r.Header.Set("Hq-Key", "k")
	if change != nil {
		change(r)
	}
	return r
}

func set(name string, values ...string) func(*http.Request) {
	return func(r *http.Request) { r.Header[name] = values }
}

func TestDoorRefusesWhatIsNotClear(t *testing.T) {
	cases := []struct {
		name    string
		service string
		change  func(*http.Request)
		want    problem.Kind
	}{
		{"no token", "shelf", set("Authorization"), problem.UnknownToken},
		{"empty token", "shelf", set("Authorization", "Bearer "), problem.UnknownToken},
		{"wrong token", "shelf", set("Authorization", "Bearer x"), problem.UnknownToken},
		{"other scheme", "shelf", set("Authorization", "Basic "+testToken), problem.UnknownToken},
		{"two tokens", "shelf", set("Authorization", "Bearer "+testToken, "Bearer x"), problem.UnknownToken},
		{"no key", "shelf", set("Hq-Key"), problem.BadRequest},
		{"empty key", "shelf", set("Hq-Key", ""), problem.BadRequest},
		{"two keys", "shelf", set("Hq-Key", "a", "b"), problem.BadRequest},
		{"long key", "shelf", set("Hq-Key", strings.Repeat("k", maxKey+1)), problem.BadRequest},
		{"deadline 0", "shelf", set("Hq-Deadline-Ms", "0"), problem.BadRequest},
		{"deadline negative", "shelf", set("Hq-Deadline-Ms", "-5"), problem.BadRequest},
		{"deadline word", "shelf", set("Hq-Deadline-Ms", "soon"), problem.BadRequest},
		{"deadline huge", "shelf", set("Hq-Deadline-Ms", "99999999999999999999"), problem.BadRequest},
		{"two deadlines", "shelf", set("Hq-Deadline-Ms", "1", "2"), problem.BadRequest},
		{"idempotent word", "shelf", set("Hq-Idempotent", "maybe"), problem.BadRequest},
		{"two idempotency keys", "shelf", set("Idempotency-Key", "a", "b"), problem.BadRequest},
		{"unknown service", "nothing", nil, problem.UnknownService},
		{"service ended", "ended", nil, problem.OutsideContract},
	}
	d, v := &requestParser{vm: "vm1"}, testView(t, nil)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, p := d.check(v, c.service, "/a", parse(c.change), today)
			require.NotNil(t, p)
			require.Equal(t, c.want, p.Kind, p.Detail)
			require.Equal(t, problem.RanNo, p.Ran)
			require.Equal(t, "vm1", p.Peer)
		})
	}
}

func TestDoorReadsHeaders(t *testing.T) {
	d, v := &requestParser{vm: "vm1"}, testView(t, nil)
	req, p := d.check(v, "shelf", "/a?q=1", parse(func(r *http.Request) {
		r.Method = http.MethodPost
		set("Hq-Deadline-Ms", "250")(r)
		set("Hq-Rank", "forged")(r)
		set("Connection", "X-Hop")(r)
		set("X-Hop", "1")(r)
		set("X-End", "1")(r)
		set("Idempotency-Key", "ik")(r)
	}), today)
	require.Nil(t, p)
	require.Equal(t, "k", req.request.Key)
	require.Equal(t, 250*time.Millisecond, req.request.Budget)
	require.False(t, req.request.Idempotent, "POST is not idempotent")
	require.Equal(t, "ik", req.request.IdempotencyKey)
	require.Equal(t, http.Header{"X-End": {"1"}, "Idempotency-Key": {"ik"}}, req.request.Header)
}

// A customer is refused during the last day of its contract. The contract names
// a day; taking the day's first second in the operator's own zone as the end
// would cut off up to a day of service.
func TestContractHoldsToTheEndOfItsDayInUTC(t *testing.T) {
	d := &requestParser{vm: "vm1"}
	v := testView(t, func(c *model.Contract) { c.End = model.NewDate(today) })
	last := time.Date(2026, 12, 2, 23, 59, 59, 0, time.UTC)
	_, p := d.check(v, "shelf", "/", parse(nil), last.In(time.FixedZone("east", 9*3600)))
	require.Nil(t, p)
	_, p = d.check(v, "shelf", "/", parse(nil), last.Add(time.Second).In(time.FixedZone("west", -9*3600)))
	require.NotNil(t, p)
	require.Equal(t, problem.OutsideContract, p.Kind)
}

func TestDoorReadsBodyWithinLimit(t *testing.T) {
	d, v := &requestParser{vm: "vm1"}, testView(t, nil)
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
		r := parse(nil)
		req, p := d.check(v, "shelf", "/", r, today)
		require.Nil(t, p)
		r.Body, r.ContentLength = http.NoBody, c.length
		r.Body = readCloser{strings.NewReader(c.body)}
		p = d.readBody(httptest.NewRecorder(), r, req)
		if c.want == "" {
			require.Nil(t, p, c.name)
			require.Equal(t, wire.Sum([]byte(c.body)), req.request.Sum)
			continue
		}
		require.NotNil(t, p, c.name)
		require.Equal(t, c.want, p.Kind, c.name)
	}
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

func FuzzDoorHeaders(f *testing.F) {
	f.Add("Bearer secret", "k", "100", "true", "ik", "Hq-Key")
	f.Add("", "", "", "", "", "")
	f.Add("Bearer secret", "\x00", "-1", "TRUE", " ", "Connection, ,")
	f.Add("Bearer secret", "k", "1e3", "", "", "close")
	d, v := &requestParser{vm: "vm1"}, testView(f, nil)
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
		req, p := d.check(v, "shelf", "/a", r, today)
		if p != nil {
			require.Equal(t, problem.RanNo, p.Ran, fmt.Sprint(p))
			return
		}
		require.NotEmpty(t, req.request.Key)
		require.Positive(t, req.request.Budget)
		require.LessOrEqual(t, req.request.Budget, req.service.MaxDeadline.D())
		for name := range req.request.Header {
			require.False(t, strings.HasPrefix(name, ownPrefix), name)
		}
	})
}
