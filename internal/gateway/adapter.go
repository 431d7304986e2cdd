package gateway

import (
	"net/http"
	"time"

	"hemlockquay/internal/answers"
	"hemlockquay/internal/budget"
	"hemlockquay/internal/catalog"
	"hemlockquay/internal/decide/signals"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/route"
	"hemlockquay/internal/upstream"
)

// Adapter translates between a platform and the gateway.
type Adapter interface {
	// Store returns a client for the platform's object store at addr. Answers reserve memory while they are read. Broken ones are
	// recorded in a log.
	Store(addr string, memory *budget.Share, broken *answers.Log) platform.ObjectStore
	// ConfigID returns the ID of the object that holds the configuration.
	ConfigID() platform.ID
	// TargetKind returns the kind of the objects that describe targets.
	TargetKind() model.Kind
	// EvacuationKind returns the kind of the objects that operators write to evacuate data centres. An
	// object's name is that of a data centre, which is evacuated as long as the object exists.
	EvacuationKind() model.Kind
	// Config decodes the configuration.
	Config(o platform.Object) (*route.Config, error)
	// Target decodes the object of a target.
	Target(o platform.Object) (catalog.Target, error)
	// Headers returns the names of the platform's HTTP headers.
	Headers() Headers
	// Signals decodes what a target says of itself in a response of any kind.
	Signals(resp *upstream.Answer) signals.Signals
	// Order encodes an order about leases as a request to a target.
	Order(o lease.Order) (*upstream.Request, error)
	// OrderResult decodes a target's response to an order.
	OrderResult(a *upstream.Answer) (result lease.Result, handover string, err error)
}

// Headers holds the names of the HTTP headers that the gateway reads or sets.
type Headers struct {
	// RequestID identifies the request. A caller that retries uses a new ID for each attempt.
	RequestID string
	// DeadlineMs is the time that the caller will wait, in milliseconds.
	DeadlineMs string
	// Key is the key of a request to a keyed service.
	Key string
	// TargetID is the ID of the target that the request is meant for; any other target refuses it.
	TargetID string
	// InstanceID is the ID of the target that responds, if the target sets it.
	InstanceID string
	// NotRun marks a response of a target that has not run the request.
	NotRun string
	// Read are the names of other headers that the adapter reads in responses.
	Read []string
}

// inResponses returns the names of the headers that are read or set in responses.
func (h Headers) inResponses() []string {
	return append([]string{h.RequestID, h.InstanceID, h.NotRun}, h.Read...)
}

// saysNotRun reports whether the response says that the target has not run the request.
func (h Headers) saysNotRun(resp *upstream.Answer) bool {
	return resp.Header.Get(h.NotRun) != "" || resp.Status == http.StatusMisdirectedRequest
}

// fromOtherTarget reports whether the response comes from a target other than id, which means that
// the address was reassigned.
func (h Headers) fromOtherTarget(resp *upstream.Answer, id string) bool {
	got := resp.Header.Get(h.InstanceID)
	return resp.Status == http.StatusMisdirectedRequest && got != "" && got != id
}

// storeTimeout bounds a call to the store. A response usually takes 4 ms, and about a hundred
// times as long if the store is slow.
const storeTimeout = time.Second
