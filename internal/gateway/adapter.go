package gateway

import (
	"net/http"
	"time"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/route"
	"hemlockquay/internal/upstream"
)

// Adapter translates between a platform and the gateway.
type Adapter interface {
	// Store returns the client of the platform's store at addr.
	Store(addr string) platform.ObjectStore
	// ConfigID names the object that holds the configuration.
	ConfigID() platform.ID
	// TargetKind is the kind of the targets' entries.
	TargetKind() model.Kind
	// Config reads the configuration.
	Config(o platform.Object) (*route.Config, error)
	// Target reads a target's entry.
	Target(o platform.Object) (catalog.Target, error)
	// Headers returns the names of the headers.
	Headers() Headers
	// Order renders an order on leases.
	Order(o lease.Order) (*upstream.Request, error)
	// OrderResult reads the answer to an order.
	OrderResult(a *upstream.Answer) (result lease.Result, handover string, err error)
}

// Headers are the names of the headers that the gateway reads or sets.
type Headers struct {
	// RequestID names the request, one for each attempt of a caller.
	RequestID string
	// DeadlineMs is how many milliseconds the caller will wait.
	DeadlineMs string
	// Key is the key of a request to a keyed service.
	Key string
	// TargetID is the id of the target that is meant; any other refuses.
	TargetID string
	// InstanceID is the id of the target that answers, where it says so.
	InstanceID string
	// NotRun marks an answer of a target that has not run the request.
	NotRun string
}

// saysNotRun reports whether an answer says that the target has not run the request.
func (h Headers) saysNotRun(a *upstream.Answer) bool {
	return a.Header.Get(h.NotRun) != "" || a.Status == http.StatusMisdirectedRequest
}

// fromOtherTarget reports whether the answer comes from another target than was meant: the
// address has passed on.
func (h Headers) fromOtherTarget(a *upstream.Answer, id string) bool {
	got := a.Header.Get(h.InstanceID)
	return a.Status == http.StatusMisdirectedRequest && got != "" && got != id
}

// storeTimeout bounds a call to the store. Its usual answer takes 4 ms, one of
// a slow store about a hundred times that.
const storeTimeout = time.Second
