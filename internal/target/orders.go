// Package target is the client of the servers behind the router: it sends orders that
// grant and release keys, and forwards callers' requests.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"hemlockquay/internal/answers"
	"hemlockquay/internal/budget"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/wire"
)

// Paths that targets serve for hemlockquay.
const (
	OrdersPath = "/hq/orders"
	HealthPath = "/hq/health"
	LoadPath   = "/hq/load"
)

// Headers between dispatchers and targets.
const (
	HeaderRequestID   = "Hq-Request-Id"
	HeaderKey         = "Hq-Key"
	HeaderDeadline    = "Hq-Deadline-Ms"
	HeaderGroup       = "Hq-Group"
	HeaderRank        = "Hq-Rank"
	HeaderIncarnation = "Hq-Incarnation"
	// HeaderRefused holds the Refusal of a request that the target did not run.
	HeaderRefused = "Hq-Refused"
)

// Refusal is a target's reason for not running a request.
type Refusal string

// Refusals of a request.
const (
	// RefusedFence: the request's rank is not the granted one, or the grant has expired.
	RefusedFence Refusal = "fence"
	// RefusedIncarnation: the request is for another incarnation of the target.
	RefusedIncarnation Refusal = "incarnation"
	// RefusedShed: no slot is free.
	RefusedShed Refusal = "shed"
	// RefusedLeaving: the target is draining.
	RefusedLeaving Refusal = "leaving"
	// RefusedReleased: the slice is moving to another target.
	RefusedReleased Refusal = "released"
)

// Order is a grantor's order to one incarnation of a target.
type Order struct {
	// Incarnation must be the target's current one. "" queries it.
	Incarnation string       `json:"incarnation,omitempty"`
	Groups      []GroupOrder `json:"groups"`
}

// GroupOrder is the part of an order for one group of slices.
type GroupOrder struct {
	Service string    `json:"service"`
	Group   uint64    `json:"group"`
	Rank    wire.Rank `json:"rank"`
	// Seq is the sequence number of the order within its rank. A target ignores an
	// order whose number is below the last one.
	Seq    uint64           `json:"seq"`
	Slices []keyspace.Slice `json:"slices,omitempty"`
	// Until is when the grant ends on the target's own clock, nanoseconds. 0 grants
	// nothing: the order only fences ranks below Rank and queries the state.
	Until int64 `json:"until,omitempty"`
	// Release lists slices for which the target must accept no new requests. The
	// grant ends once Release lists all of its slices and no request runs on them.
	Release []keyspace.Slice `json:"release,omitempty"`
}

// Report is a target's response to an order.
type Report struct {
	Incarnation string `json:"incarnation"`
	// Refused reports that the order was for another incarnation and had no effect.
	Refused bool `json:"refused,omitempty"`
	// Clock is the target's own clock, nanoseconds.
	Clock int64 `json:"clock"`
	// Leaving reports that the target is draining.
	Leaving bool          `json:"leaving,omitempty"`
	Groups  []GroupReport `json:"groups"`
}

// GroupReport is the target's state of one group.
type GroupReport struct {
	Service string `json:"service"`
	Group   uint64 `json:"group"`
	// Confirmed reports that the order's rank is now the fence.
	Confirmed bool `json:"confirmed"`
	// Fence is the highest rank that the target has seen.
	Fence wire.Rank `json:"fence"`
	// Before is the fence that the current one replaced.
	Before wire.Rank `json:"before,omitzero"`
	// Held is when the grant that the target holds ends, 0 for none. HeldRank is
	// the rank of that grant.
	Held     int64     `json:"held,omitempty"`
	HeldRank wire.Rank `json:"heldRank,omitzero"`
	// Running is the number of requests in flight on the slices under release.
	Running int `json:"running,omitempty"`
}

// FormatRank formats a rank for a header.
func FormatRank(r wire.Rank) string {
	return fmt.Sprintf("%d.%d.%d.%s", r.Epoch, r.Succession, r.Incarnation, r.Agent)
}

// ParseRank parses a rank from a header.
func ParseRank(text string) (wire.Rank, error) {
	parts := strings.SplitN(text, ".", 4)
	if len(parts) != 4 {
		return wire.Rank{}, fmt.Errorf("rank %q does not have four parts", text)
	}
	epoch, err1 := strconv.ParseUint(parts[0], 10, 64)
	succession, err2 := strconv.ParseUint(parts[1], 10, 64)
	incarnation, err3 := strconv.ParseInt(parts[2], 10, 64)
	for _, err := range []error{err1, err2, err3} {
		if err != nil {
			return wire.Rank{}, fmt.Errorf("rank %q: %w", text, err)
		}
	}
	return wire.Rank{Epoch: epoch, Succession: succession, Incarnation: incarnation, Agent: parts[3]}, nil
}

// maxReportBytes bounds a target's report.
const maxReportBytes = 4 << 20

// OrderClient is a client that sends orders to targets.
type OrderClient struct {
	http      *http.Client
	transport *answers.Transport
	// memory is where reports reserve memory while they are read. It may be nil.
	memory *budget.Share
}

// Within bounds the reports that are being read, together with all that has the same share. It is called before the first use.
func (c *OrderClient) Within(memory *budget.Share) *OrderClient {
	c.memory = memory
	return c
}

// maxIdleOrderConns is the number of idle connections kept for each target. Orders are
// sent every 75 ms and may run in parallel with two delayed ones.
const maxIdleOrderConns = 4

// NewOrderClient returns an order client. It sets no timeouts: each call is bounded by its
// context.
func NewOrderClient() *OrderClient {
	transport := answers.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleOrderConns, MaxResponseHeaderBytes: maxResponseHeaderBytes})
	return &OrderClient{http: &http.Client{Transport: transport}, transport: transport}
}

// ReportTo records broken answers in a log. It is called before the first use.
func (c *OrderClient) ReportTo(broken *answers.Log) *OrderClient {
	c.transport.ReportTo(broken)
	return c
}

// Send sends an order to the target at addr and returns the target's report.
func (c *OrderClient) Send(ctx context.Context, addr string, order *Order) (*Report, error) {
	text, err := json.Marshal(order)
	if err != nil {
		return nil, fmt.Errorf("encode order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+OrdersPath, bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("order at %s: %w", addr, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("order at %s: %w", addr, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("order at %s: status %d", addr, resp.StatusCode)
	}
	// Read to the end: net/http closes a connection whose response was not read
	// completely, and every order would need a new connection.
	held := budget.Reader{In: io.LimitReader(resp.Body, maxReportBytes), Share: c.memory}
	defer held.Release()
	body, err := io.ReadAll(&held)
	if err != nil {
		return nil, fmt.Errorf("order at %s: read report: %w", addr, err)
	}
	var report Report
	if err := json.Unmarshal(body, &report); err != nil {
		return nil, fmt.Errorf("order at %s: read report: %w", addr, err)
	}
	return &report, nil
}

// Close closes idle connections.
func (c *OrderClient) Close() { c.http.CloseIdleConnections() }
