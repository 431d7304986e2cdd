package target

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"hemlockquay/internal/answers"
)

// Health is a target's report of its health. It may be out of date or wrong.
type Health struct {
	Incarnation string `json:"incarnation"`
	Healthy     bool   `json:"healthy"`
	Leaving     bool   `json:"leaving"`
}

// Load is a target's report of its load. It may be out of date or wrong.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
}

// maxProbeBytes bounds the response to a probe.
const maxProbeBytes = 64 << 10

// Prober queries targets for health and load, over its own connections.
type Prober struct {
	http      *http.Client
	transport *answers.Transport
}

// NewProber returns a prober. It sets no timeouts: each call is bounded by its context.
func NewProber() *Prober {
	transport := answers.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxResponseHeaderBytes})
	return &Prober{http: &http.Client{Transport: transport}, transport: transport}
}

// ReportTo records broken answers in a log. It is called before the first use.
func (p *Prober) ReportTo(broken *answers.Log) *Prober {
	p.transport.ReportTo(broken)
	return p
}

// Health queries the health of the target at addr.
func (p *Prober) Health(ctx context.Context, addr string) (Health, error) {
	var h Health
	err := p.get(ctx, addr+HealthPath, &h)
	return h, err
}

// Load queries the load of the target at addr.
func (p *Prober) Load(ctx context.Context, addr string) (Load, error) {
	var l Load
	err := p.get(ctx, addr+LoadPath, &l)
	return l, err
}

func (p *Prober) get(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+url, nil)
	if err != nil {
		return fmt.Errorf("probe %s: %w", url, err)
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return fmt.Errorf("probe %s: %w", url, classify(err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("probe %s: status %d", url, resp.StatusCode)
	}
	text, err := answers.ReadAll(resp.Body, maxProbeBytes)
	if err == nil {
		err = json.Unmarshal(text, out)
	}
	if err != nil {
		return fmt.Errorf("probe %s: %w", url, err)
	}
	return nil
}

// Close closes idle connections.
func (p *Prober) Close() { p.http.CloseIdleConnections() }
