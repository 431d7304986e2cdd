package answers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is a transport of net/http whose connections are Conns. It implements http.RoundTripper.
type Transport struct {
	base *http.Transport
	log  *Log
}

// NewTransport returns a transport with the settings of base, which belongs to it then.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(nc), nil
	}
	return &Transport{base: base}
}

// ReportTo records broken answers in a log, which may be nil. It is called before the first use.
func (t *Transport) ReportTo(log *Log) { t.log = log }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn *Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		// A connection with TLS is not looked into.
		var plain bool
		if conn, plain = info.Conn.(*Conn); plain {
			_ = conn.Begin(nil)
		}
	}}
	ctx := r.Context()
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		if conn != nil && conn.Began() && ctx.Err() == nil {
			t.log.Broken(r.URL.Host, err)
		}
		return nil, err
	}
	if resp.Body != http.NoBody {
		resp.Body = &body{ReadCloser: resp.Body, ctx: ctx, log: t.log, addr: r.URL.Host}
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// body is the body of an answer. It records that it is broken.
type body struct {
	io.ReadCloser
	ctx      context.Context
	log      *Log
	addr     string
	recorded bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && !b.recorded && b.ctx.Err() == nil {
		b.recorded = true
		b.log.Broken(b.addr, err)
	}
	return n, err
}

// ErrTooLong says that a body exceeds its limit.
var ErrTooLong = errors.New("answer too long")

// ReadAll reads a body of at most limit bytes to its end. A part of a body is never returned.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if int64(len(text)) > limit {
		return nil, fmt.Errorf("read answer: %w: over %d bytes", ErrTooLong, limit)
	}
	return text, nil
}
