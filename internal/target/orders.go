// Package target speaks with the servers behind the router: orders for the
// grants of keys, and callers' requests.
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

	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/wire"
)

// Paths that targets serve for the system.
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
	// HeaderRefused names why a target did not run a request.
	HeaderRefused = "Hq-Refused"
)

// Refusal is a target's reason for not running a request.
type Refusal string

// The refusals.
const (
	// RefusedFence: the rank is not the granted one, or the grant is out.
	RefusedFence Refusal = "fence"
	// RefusedIncarnation: the request names another life of the target.
	RefusedIncarnation Refusal = "incarnation"
	// RefusedShed: no slot is free.
	RefusedShed Refusal = "shed"
	// RefusedLeaving: the target drains.
	RefusedLeaving Refusal = "leaving"
	// RefusedReleased: the slice is being moved away.
	RefusedReleased Refusal = "released"
)

// Order is what a grantor asks of one target in one incarnation.
type Order struct {
	// Incarnation must be the target's; "" asks which it is.
	Incarnation string       `json:"incarnation,omitempty"`
	Groups      []GroupOrder `json:"groups"`
}

// GroupOrder concerns one group of slices.
type GroupOrder struct {
	Service string    `json:"service"`
	Group   uint64    `json:"group"`
	Rank    wire.Rank `json:"rank"`
	// Seq orders the orders of one rank: a target ignores one below the last.
	Seq    uint64           `json:"seq"`
	Slices []keyspace.Slice `json:"slices,omitempty"`
	// Until is the end of the grant on the target's own clock, nanoseconds.
	// 0 asks a question: it fences at Rank without granting.
	Until int64 `json:"until,omitempty"`
	// Release lists slices on which the target must take no new work. Once it
	// lists all of the grant's slices and none runs work, the grant is given up.
	Release []keyspace.Slice `json:"release,omitempty"`
}

// Report is a target's answer to an order.
type Report struct {
	Incarnation string `json:"incarnation"`
	// Refused says that the order named another incarnation; nothing was done.
	Refused bool `json:"refused,omitempty"`
	// Clock is the target's own clock, nanoseconds.
	Clock int64 `json:"clock"`
	// Leaving says that the target drains.
	Leaving bool          `json:"leaving,omitempty"`
	Groups  []GroupReport `json:"groups"`
}

// GroupReport is the target's state of one group.
type GroupReport struct {
	Service string `json:"service"`
	Group   uint64 `json:"group"`
	// Confirmed says that the order's rank is the fence now.
	Confirmed bool `json:"confirmed"`
	// Fence is the highest rank seen.
	Fence wire.Rank `json:"fence"`
	// Before is the fence that the current one replaced.
	Before wire.Rank `json:"before,omitzero"`
	// Held is the end of the grant that the target holds, 0 for none, and
	// HeldRank its rank.
	Held     int64     `json:"held,omitempty"`
	HeldRank wire.Rank `json:"heldRank,omitzero"`
	// Running counts requests in flight on the slices under release.
	Running int `json:"running,omitempty"`
}

// FormatRank renders a rank for a header.
func FormatRank(r wire.Rank) string {
	return fmt.Sprintf("%d.%d.%d.%s", r.Epoch, r.Succession, r.Incarnation, r.Agent)
}

// ParseRank reads a rank from a header.
func ParseRank(text string) (wire.Rank, error) {
	parts := strings.SplitN(text, ".", 4)
	if len(parts) != 4 {
		return wire.Rank{}, fmt.Errorf("rank %q has not four parts", text)
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

// maxReportBytes bounds a target's report, bytes.
const maxReportBytes = 4 << 20

// Commander sends orders to targets.
type Commander struct{ http *http.Client }

// maxIdleOrderConns is how many connections to one target are kept: an order each
// 75 ms may overtake two that are late.
const maxIdleOrderConns = 4

// NewCommander returns a commander; each call's context carries its deadline.
func NewCommander() *Commander {
	return &Commander{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleOrderConns}}}
}

// Send carries an order to the target at addr.
func (c *Commander) Send(ctx context.Context, addr string, order *Order) (*Report, error) {
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
	// Read to the end: a connection whose answer was not is closed, and every
	// order would dial anew.
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return nil, fmt.Errorf("order at %s: read report: %w", addr, err)
	}
	var report Report
	if err := json.Unmarshal(body, &report); err != nil {
		return nil, fmt.Errorf("order at %s: read report: %w", addr, err)
	}
	return &report, nil
}

// Close drops idle connections.
func (c *Commander) Close() { c.http.CloseIdleConnections() }
