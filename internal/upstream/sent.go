package upstream

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

// defaultSentMemory is how long a request is remembered whose exchange has no deadline.
const defaultSentMemory = 30 * time.Second

// sentRequests are the ids of the requests that were sent on a connection and may be sent again.
//
// A target may answer a request twice, and the second answer may arrive when the next one is awaited. The id tells them
// apart only if the same id is never sent on the same connection twice. An id is not sent any more after the deadline of its
// request.
type sentRequests []sentRequest

type sentRequest struct {
	id    uint64
	until time.Time
}

// answersOf returns what tells the answers to a request apart from others. It returns false if nothing needs to.
func (r *Request) answersOf() (id uint64, ok bool) {
	return xxhash.Sum64String(r.ID), r.IDHeader != "" && !r.Advisory
}

// contains reports whether a request with the same id, or also without one, was sent.
func (s sentRequests) contains(r *Request) bool {
	id, ok := r.answersOf()
	if !ok {
		return false
	}
	for _, sent := range s {
		if sent.id == id {
			return true
		}
	}
	return false
}

// add records a request, and forgets those whose deadline has passed.
func (s *sentRequests) add(ctx context.Context, r *Request, now time.Time) {
	id, ok := r.answersOf()
	if !ok {
		return
	}
	kept := (*s)[:0]
	for _, sent := range *s {
		if now.Before(sent.until) {
			kept = append(kept, sent)
		}
	}
	until, bounded := ctx.Deadline()
	if !bounded {
		until = now.Add(defaultSentMemory)
	}
	*s = append(kept, sentRequest{id: id, until: until})
}
