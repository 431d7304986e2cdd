package gateway

import (
	"context"
	"time"

	"hemlockquay/internal/decide/pushback"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/pause"
)

const (
	// signalReportInterval is the interval of the log lines on targets that leave or refuse requests.
	signalReportInterval = time.Second
	// minAnnounceInterval is the minimum time between two announcements of what a target says. It bounds the messages of a
	// target whose signals change with each response; each costs one message to each VM.
	minAnnounceInterval = time.Second
	// maxReportedRest bounds the rest that another VM reports. It is what the platform's adapter accepts from a target.
	maxReportedRest = time.Minute
	// leavingReportedFor is how long a VM tells others that a target has said that it leaves. A pair of VMs of a
	// fleet of 300 exchanges a heartbeat every 7 s.
	leavingReportedFor = 10 * time.Second
)

// lastSignals is what an incarnation of a target has said to this VM while it was listed.
type lastSignals struct {
	born               int64
	leavingAnnouncedAt time.Duration
	pushback           pushback.State
}

// maxUnlisted bounds the targets without an entry whose signals are kept. It is more than twice the targets of a large
// fleet.
const maxUnlisted = 1024

// keepSignalsLocked keeps what a target has said whose entry is removed: the target may go on running. It needs s.mu.
func (s *routingState) keepSignalsLocked(t *targetState) {
	if t.leavingAnnouncedAt == 0 && t.pushback.Left(s.clock.Now()) == 0 {
		return
	}
	for id := range s.unlisted {
		if len(s.unlisted) < maxUnlisted {
			break
		}
		delete(s.unlisted, id)
	}
	s.unlisted[t.ID] = lastSignals{born: t.Born, leavingAnnouncedAt: t.leavingAnnouncedAt, pushback: t.pushback}
}

// restoreSignalsLocked restores what a target has said if its entry is back. A new incarnation starts anew. It needs s.mu.
func (s *routingState) restoreSignalsLocked(t *targetState) {
	if before := s.unlisted[t.ID]; before.born == t.Born {
		t.leavingAnnouncedAt, t.pushback = before.leavingAnnouncedAt, before.pushback
	}
	delete(s.unlisted, t.ID)
}

// announceSoonLocked tells all other VMs of a change of what a target says, ahead of the next heartbeats. It needs s.mu.
func (s *routingState) announceSoonLocked(t *targetState) {
	if now := s.clock.Now(); now-t.announcedAt >= minAnnounceInterval {
		t.announcedAt = now
		s.announce()
	}
}

// ownReports returns what targets have said to this VM itself.
func (s *routingState) ownReports() []mesh.TargetReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []mesh.TargetReport
	now := s.clock.Now()
	for t := range s.toReport {
		limit, told := t.limit.Report(now)
		r := mesh.TargetReport{Target: t.ID, Born: t.Born, Leaving: t.leavingAnnouncedAt > 0 && now-t.leavingAnnouncedAt < leavingReportedFor, RestLeft: t.pushback.Report(now)}
		if told && limit.Source == s.vm {
			r.Limit = limit
		}
		switch {
		case s.targets[t.ID] != t, !told && !r.Leaving && r.RestLeft == 0:
			delete(s.toReport, t)
		case r.Limit.Source != "" || r.Leaving || r.RestLeft > 0:
			out = append(out, r)
		}
	}
	return out
}

// mergeReport applies what another VM reports of a target. firstHand reports whether that VM got the response itself from
// which it knows the limit.
func (g *Gateway) mergeReport(r mesh.TargetReport, vm string, firstHand bool) {
	if r.Limit.Source != "" {
		g.mergeLimit(r, firstHand)
	}
	if r.Leaving {
		g.state.markLeaving(r.Target, r.Born, vm)
	}
	if r.RestLeft <= 0 {
		return
	}
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	if t := g.state.incarnationLocked(r.Target, r.Born); t != nil {
		t.pushback.Reported(vm, min(r.RestLeft, maxReportedRest), g.clock.Now())
	}
}

// reportSignals periodically logs the targets that leave or refuse requests beside what this VM has sent to them, until
// ctx ends.
func (g *Gateway) reportSignals(ctx context.Context) {
	for pause.For(ctx, signalReportInterval) {
		g.logSignals()
	}
}

func (g *Gateway) logSignals() {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	now := g.clock.Now()
	for _, t := range g.state.targets {
		if t.leavingAnnouncedAt == 0 && t.pushback.VMs(now) == 0 || !g.signals.lines.Allow() {
			continue
		}
		g.log.Info().Str("step", "signals").Str("target", t.ID).Str("service", t.Service).Bool("leaving", t.Leaving || t.Draining).Int64("leavingAnnouncedFor", ageMillis(t.leavingAnnouncedAt, now)).
			Dur("restLeft", t.pushback.Left(now)).Int("vms", t.pushback.VMs(now)).Int("own", t.sent[sentOwn].Count(now)).Int("forwarded", t.sent[sentForwarded].Count(now)).
			Int("inquiries", t.sent[sentInquiries].Count(now)).Msg("requests in 4 s to a target that leaves or refuses")
	}
}

// ageMillis returns the time since then in milliseconds, or -1 if it is zero.
func ageMillis(then, now time.Duration) int64 {
	if then == 0 {
		return -1
	}
	return (now - then).Milliseconds()
}
