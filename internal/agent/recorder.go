package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/decide/epochlimit"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/ring"
)

const (
	// updatePause is the minimum time between two writes that only bring a service's record up to
	// date. Nothing waits for these, so the pause lets all groups of a lost target share one
	// write.
	updatePause = time.Second
	// writePause is the pause after a write failed or conflicted. Meanwhile the record that was
	// written instead arrives by the watch.
	writePause = 60 * time.Millisecond
	// writePauseMax bounds the pause while the store fails. The pause doubles up to this bound,
	// with jitter, so that agents do not write simultaneously at the end of an outage.
	writePauseMax = 500 * time.Millisecond
	// readPause is the pause between two reads of a record for authority.
	readPause = 60 * time.Millisecond
)

// recorder writes and reads the records of services for the grantor, with at most one call of
// each kind in flight per service. It is safe for concurrent use.
type recorder struct {
	// writeStore and readStore are the same store with its calls counted under different causes.
	writeStore  platform.Store
	readStore   platform.Store
	newWriteTag func() string
	timeout     time.Duration
	log         *log.Logger
	clock       boottime.Clock
	calls       sync.WaitGroup

	mu        sync.Mutex
	inFlight  map[string]bool
	notBefore map[string]time.Duration
	// epochLimits limit the rate of new epochs of each group.
	epochLimits map[groupID]*epochlimit.Limiter
	// retryDelays holds the current retry delay of services whose writes fail.
	retryDelays map[string]time.Duration
}

func newRecorder(writeStore, readStore platform.Store, newWriteTag func() string, timeout time.Duration, l *log.Logger) *recorder {
	return &recorder{
		writeStore: writeStore, readStore: readStore, newWriteTag: newWriteTag, timeout: timeout, log: l, clock: boottime.System{},
		inFlight: make(map[string]bool), notBefore: make(map[string]time.Duration),
		retryDelays: make(map[string]time.Duration), epochLimits: make(map[groupID]*epochlimit.Limiter),
	}
}

// wait blocks until no call is in flight.
func (r *recorder) wait() { r.calls.Wait() }

// beginCall reserves a call and reports whether it may start: none is in flight, and the pause
// after the last one is over.
func (r *recorder) beginCall(call string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[call] || r.clock.Now() < r.notBefore[call] {
		return false
	}
	r.inFlight[call] = true
	return true
}

func (r *recorder) endCall(call string, pause time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[call] = false
	r.notBefore[call] = r.clock.Now() + pause
}

// writeProposals writes all proposals in one write that is conditional on the version of the
// record for which they were made. Proposals with a new epoch are written at once, others at most
// once per updatePause.
func (r *recorder) writeProposals(ctx context.Context, svc *serviceState, proposals []model.Group) {
	proposals = r.limitEpochs(svc.record, proposals)
	if len(proposals) == 0 {
		return
	}
	record, urgent := mergeProposals(svc.record, proposals)
	call, pause := "update "+record.Service, updatePause
	if urgent {
		call, pause = "epoch "+record.Service, writePause
	}
	if !r.beginCall(call) {
		return
	}
	version := svc.recordVersion
	r.calls.Go(func() {
		err := r.writeRecord(ctx, record, version)
		r.endCall(call, max(pause, r.nextRetryDelay(record.Service, err)))
	})
}

// limitEpochs removes proposals whose new epoch exceeds the rate limit of the group.
func (r *recorder) limitEpochs(held *model.Assignment, proposals []model.Group) []model.Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var out []model.Group
	for _, p := range proposals {
		i := slices.IndexFunc(held.Groups, func(g model.Group) bool { return g.ID == p.ID })
		if i < 0 {
			continue
		}
		id := groupID{held.Service, p.ID}
		limiter := r.epochLimits[id]
		if limiter == nil {
			limiter = epochlimit.New()
			r.epochLimits[id] = limiter
		}
		limiter.Seen(held.Groups[i].Epoch, now)
		if p.Epoch == held.Groups[i].Epoch || limiter.Allow(now) {
			out = append(out, p)
		}
	}
	return out
}

// mergeProposals returns a copy of the record with the proposals applied. It is urgent if one of
// them has a new epoch.
func mergeProposals(held *model.Assignment, proposals []model.Group) (record model.Assignment, urgent bool) {
	record = *held
	record.Groups = append([]model.Group(nil), held.Groups...)
	for _, p := range proposals {
		for i := range record.Groups {
			if record.Groups[i].ID == p.ID {
				urgent = urgent || p.Epoch > record.Groups[i].Epoch
				record.Groups[i] = p
			}
		}
	}
	return record, urgent
}

// nextRetryDelay returns the pause after a write that returned err: none after a success or a
// conflict, otherwise a delay that doubles with each failure.
func (r *recorder) nextRetryDelay(service string, err error) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil || errors.Is(err, platform.ErrConflict) {
		delete(r.retryDelays, service)
		return 0
	}
	if r.retryDelays[service] == 0 {
		r.log.Warn().Err(err).Str("step", "write-record").Str("peer", service).Msg("cannot write the record; the write will be retried")
	}
	r.retryDelays[service] = min(2*max(r.retryDelays[service], writePause), writePauseMax)
	return r.retryDelays[service]/2 + rand.N(r.retryDelays[service]/2)
}

func (r *recorder) writeRecord(ctx context.Context, record model.Assignment, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	spec, err := json.Marshal(&record)
	if err != nil {
		return fmt.Errorf("encode record of %s: %w", record.Service, err)
	}
	o := platform.Object{Kind: model.KindAssignment, Name: record.Service, Version: version, Writer: r.newWriteTag(), Spec: spec}
	_, err = platform.Write(ctx, r.writeStore, o)
	return err
}

// readRecord reads a service's record and adds it to the inbox as a response to a request made at
// requestedAt.
func (r *recorder) readRecord(ctx context.Context, service string, requestedAt time.Duration, inbox *ring.Ring[response]) {
	call := "read " + service
	if !r.beginCall(call) {
		return
	}
	r.calls.Go(func() {
		defer r.endCall(call, readPause)
		ctx, cancel := context.WithTimeout(ctx, r.timeout)
		defer cancel()
		o, err := r.readStore.Get(ctx, platform.ID{Kind: model.KindAssignment, Name: service})
		if err != nil {
			r.log.Debug().Err(err).Str("step", "read-record").Str("peer", service).Msg("cannot read the record; no authority from the store")
			return
		}
		object, err := model.Decode(o.Kind, o.Name, o.Spec)
		if err != nil {
			return
		}
		_ = inbox.Push(ctx, response{service: service, record: object.(*model.Assignment), requestedAt: requestedAt})
	})
}
