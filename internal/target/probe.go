package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Health is what a target says of itself. It may lag or mislead.
type Health struct {
	Incarnation string `json:"incarnation"`
	Healthy     bool   `json:"healthy"`
	Leaving     bool   `json:"leaving"`
}

// Load is what a target says of its load. It may lag or mislead.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
}

// maxProbeBytes bounds the answer of a hint endpoint, bytes.
const maxProbeBytes = 64 << 10

// Prober asks targets for hints, over connections of its own.
type Prober struct{ http *http.Client }

// NewProber returns a prober; each call's context carries its deadline.
func NewProber() *Prober {
	return &Prober{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout}}}
}

// Health asks the target at addr for its health.
func (p *Prober) Health(ctx context.Context, addr string) (Health, error) {
	var h Health
	err := p.get(ctx, addr+HealthPath, &h)
	return h, err
}

// Load asks the target at addr for its load.
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxProbeBytes)).Decode(out); err != nil {
		return fmt.Errorf("probe %s: %w", url, err)
	}
	return nil
}

// Close drops idle connections.
func (p *Prober) Close() { p.http.CloseIdleConnections() }
