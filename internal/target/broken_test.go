package target

import (
	"bytes"
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/answers"
	"hemlockquay/internal/standin/link/linktest"
)

// hangTimeout ends a test that waits for something that does not come.
const hangTimeout = 10 * time.Second

func newBrokenLog() (*answers.Log, metrics.Counter) {
	registry := metrics.NewRegistry()
	return answers.NewLog(registry, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}), metrics.GetOrRegisterCounter("answers.broken", registry)
}

// play sends a request through s for each exchange.
func play(t *testing.T, s *Sender, exchanges []linktest.Exchange, check func(t *testing.T, e linktest.Exchange, body []byte, status int, err error)) *linktest.Server {
	replies := make([]linktest.Reply, len(exchanges))
	for i, e := range exchanges {
		replies[i] = e.Reply
	}
	server := linktest.ServeReplies(t, HeaderRequestID, replies...)
	for i, e := range exchanges {
		t.Run(e.Name, func(t *testing.T) {
			a := attempt(server.Addr)
			a.Request.Body = bytes.Repeat([]byte("x"), e.Upload)
			ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
			defer cancel()
			answer, err := s.Send(ctx, a)
			require.NotErrorIs(t, err, context.DeadlineExceeded)
			if err != nil {
				check(t, e, nil, 0, err)
			} else {
				check(t, e, answer.Body, answer.Status, nil)
			}
			require.EqualValues(t, i+1, server.Requests.Load(), "each request is sent once")
		})
	}
	return server
}

// Guards against broken answers that a dispatcher passes on: cut while the upload is written, without a status, with a malformed name.
func TestBrokenAnswersAreErrors(t *testing.T) {
	exchanges := slices.Concat(linktest.Cuts(), linktest.Cuts(), linktest.BrokenStatuses(), linktest.BrokenNames())
	broken, count := newBrokenLog()
	s := NewSender(1).ReportTo(broken)
	defer s.Close()
	server := play(t, s, exchanges, func(t *testing.T, _ linktest.Exchange, body []byte, _ int, err error) {
		require.Error(t, err, "%q", body)
		require.NotErrorIs(t, err, ErrUnsent)
	})
	require.EqualValues(t, len(exchanges), server.Conns.Load(), "a connection with a broken answer is not used again")
	server = play(t, s, linktest.OnKeptConns(exchanges), func(t *testing.T, e linktest.Exchange, _ []byte, _ int, err error) {
		require.Equal(t, e.Status == 0, err != nil, err)
	})
	require.EqualValues(t, len(exchanges), server.Conns.Load())
	// A connection that was reset before the head was read had no answer.
	require.LessOrEqual(t, count.Count(), int64(2*len(exchanges)))
	require.GreaterOrEqual(t, count.Count(), int64(2*len(linktest.BrokenStatuses())+2*len(linktest.BrokenNames())))
}

// Guards against sound answers that count as broken.
func TestSoundAnswersStayWhole(t *testing.T) {
	check := func(t *testing.T, e linktest.Exchange, body []byte, status int, err error) {
		require.NoError(t, err)
		require.Equal(t, e.Body, string(body))
		require.Equal(t, e.Status, status)
	}
	broken, count := newBrokenLog()
	for _, e := range linktest.SoundReplies() {
		if e.Reply.End == linktest.Reset || e.Reply.End == linktest.HalfCloseReset {
			// Package net/http gives up an answer whose head it has not read when the upload fails.
			continue
		}
		s := NewSender(1).ReportTo(broken)
		play(t, s, []linktest.Exchange{e}, check)
		s.Close()
	}
	s := NewSender(1).ReportTo(broken)
	defer s.Close()
	server := play(t, s, linktest.SoundNames(), check)
	require.EqualValues(t, 1, server.Conns.Load())
	require.Zero(t, count.Count())
}

// Guards against a broken answer of a target that counts as a report of its health, its load or its keys.
func TestBrokenReportsAreErrors(t *testing.T) {
	const report = `{"incarnation":"t1-1","healthy":true,"slots":4,"clock":1}`
	for _, e := range linktest.BrokenReplies(report) {
		t.Run(e.Name, func(t *testing.T) {
			server := linktest.ServeReplies(t, HeaderRequestID, e.Reply)
			prober, orders := NewProber(), NewOrderClient()
			defer prober.Close()
			defer orders.Close()
			_, err := prober.Health(t.Context(), server.Addr)
			require.Error(t, err)
			_, err = prober.Load(t.Context(), server.Addr)
			require.Error(t, err)
			order := &Order{Groups: []GroupOrder{{Service: string(bytes.Repeat([]byte("x"), e.Upload))}}}
			_, err = orders.Send(t.Context(), server.Addr, order)
			require.Error(t, err)
		})
	}
}
