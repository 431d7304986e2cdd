// Package pushback decides when a VM may send requests to a target that has refused some.
//
// Load pattern: a target refuses all requests for some seconds, or asks a VM for a time without any. If each request
// is sent there several times and its caller returns soon, the target gets several times its usual load, and
// has to refuse that as well.
//
// A target is left alone for as long as it has asked for. If it only refuses, and nothing is answered in between, it
// is left alone for a time that doubles with each refusal. After that a single request is sent, the probe; others
// follow once it is answered. A target that refuses only a part of the requests is worth more attempts: each may be
// served. Where one target of a service does that, the others are likely to as well.
//
// Invariant: nothing but time ends what the target has asked for. A response to a request that was sent earlier shows
// nothing of the time after it.
package pushback

import "time"

const (
	// refusalThreshold is the number of refusals in a row from which a target that does not ask for a rest is left alone.
	// One may be due to a request of another VM that this VM has not heard of.
	refusalThreshold = 2
	// partialThreshold is that number for a target which has served a request after a refusal within partialTime. If
	// half of the requests are refused, two refusals in a row end one request in four, ten one in a thousand.
	partialThreshold = 10
	partialTime      = 10 * time.Second
	// minPause and maxPause bound the time for which such a target is left alone. The longest is that of a target which
	// accepts no connections (package pick).
	minPause = 100 * time.Millisecond
	maxPause = 1600 * time.Millisecond
	// probeTimeout is the time after which a probe without an outcome no longer excludes others. Few requests take
	// longer.
	probeTimeout = 500 * time.Millisecond
	// reportedPause is the length of a pause from which it is reported to other VMs. The first pause is shorter: a target
	// that is full for a moment also refuses two requests in a row.
	reportedPause = 200 * time.Millisecond
	// maxReports bounds the VMs whose reports are kept for one target. Two suffice for its keys to move.
	maxReports = 8
)

// State is what a VM knows of the refusals of one incarnation of a target. The zero value is that of a target that
// has refused nothing. It is not safe for concurrent use. All times are readings of one clock.
type State struct {
	// statedUntil is the end of the rest that the target has asked this VM for, pausedUntil that of the pause after
	// refusals in a row.
	statedUntil, pausedUntil time.Duration
	// refusals is the number of refusals in a row, lastRefusedAt the time of the last one.
	refusals      int
	lastRefusedAt time.Duration
	pause         time.Duration
	// partialUntil is the time until which the target counts as one that refuses a part of the requests.
	partialUntil time.Duration
	// probeSentAt is when the probe in flight was sent, or 0.
	probeSentAt time.Duration
	// reports holds the end of the rest of other VMs at the target, by VM.
	reports map[string]time.Duration
}

// Refused records a refusal. rest is what the target asks for, or 0. spread in [0, 1) spreads the pauses of several VMs.
// It reports whether the target is left alone from now on and was not before.
func (s *State) Refused(rest time.Duration, spread float64, now time.Duration) (began bool) {
	before := s.Left(now)
	s.refusals++
	s.lastRefusedAt, s.probeSentAt = now, 0
	s.statedUntil = max(s.statedUntil, now+rest)
	if s.exhausted(now) {
		s.pause = min(max(2*s.pause, minPause), maxPause)
		s.pausedUntil = now + time.Duration((0.75+spread/2)*float64(s.pause))
	}
	return before == 0 && s.Left(now) > 0
}

// exhausted reports whether there were so many refusals in a row that no request is likely to be served.
func (s *State) exhausted(now time.Duration) bool {
	if now < s.partialUntil {
		return s.refusals >= partialThreshold
	}
	return s.refusals >= refusalThreshold
}

// Served records the response to a request that ran and was sent at the given time. It reports whether the target
// turns out to refuse only a part of the requests.
func (s *State) Served(sentAt, now time.Duration) (partial bool) {
	if sentAt <= s.lastRefusedAt {
		return false
	}
	if partial = s.refusals > 0; partial {
		s.Partial(now)
	}
	s.refusals, s.pause, s.pausedUntil, s.probeSentAt = 0, 0, 0, 0
	return partial
}

// Partial records that the target, or another one of its service, refuses only a part of the requests.
func (s *State) Partial(now time.Duration) { s.partialUntil = now + partialTime }

// Left returns for how long the target gets no requests from this VM.
func (s *State) Left(now time.Duration) time.Duration {
	return max(0, s.statedUntil-now, s.pausedUntil-now)
}

// Allows reports whether a request may be sent now.
func (s *State) Allows(now time.Duration) bool {
	switch {
	case s.Left(now) > 0:
		return false
	case s.exhausted(now) || s.refusals > 0 && s.statedUntil > 0:
		return s.probeSentAt == 0 || now-s.probeSentAt >= probeTimeout
	}
	return true
}

// Sent records that a request is sent.
func (s *State) Sent(now time.Duration) {
	if s.refusals > 0 {
		s.probeSentAt = now
	}
}

// Report returns for how long this VM leaves the target alone, as other VMs are told. It is 0 if they need not know.
func (s *State) Report(now time.Duration) time.Duration {
	if s.statedUntil <= now && s.pause < reportedPause {
		return 0
	}
	return s.Left(now)
}

// Reported records for how long another VM leaves the target alone.
func (s *State) Reported(vm string, left, now time.Duration) {
	for other, until := range s.reports {
		if until <= now {
			delete(s.reports, other)
		}
	}
	if _, known := s.reports[vm]; left <= 0 || !known && len(s.reports) >= maxReports {
		return
	}
	if s.reports == nil {
		s.reports = make(map[string]time.Duration)
	}
	s.reports[vm] = now + left
}

// VMs returns how many VMs leave the target alone, as far as this one knows.
func (s *State) VMs(now time.Duration) int {
	n := 0
	for _, until := range s.reports {
		if until > now {
			n++
		}
	}
	if s.Report(now) > 0 {
		n++
	}
	return n
}
