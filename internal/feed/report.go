package feed

import (
	"cmp"
	"context"
	"slices"
	"time"

	"hemlockquay/internal/daemon"
	"hemlockquay/internal/model"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/wire"
)

func (f *Feed) reportLoop(ctx context.Context) {
	defer f.done.Done()
	draining := f.life.Draining()
	for ctx.Err() == nil {
		f.report(ctx, false)
		select {
		case <-time.After(reportInterval):
		case <-f.revisionChanged:
			// Report soon, as operators wait for the new revision to be in
			// force; the delay combines a burst of changes into one report.
			pause.For(ctx, reportDebounce)
		case <-draining:
			// Report immediately, so that peers stop sending new requests.
			draining = nil
		case <-ctx.Done():
		}
	}
}

func (f *Feed) report(ctx context.Context, stopped bool) {
	v := f.Current()
	ready, _ := f.life.IsReady()
	args := wire.ReportArgs{
		Process:  f.endpoint.Process,
		Addr:     f.endpoint.Data,
		Admin:    f.life.AdminAddr(),
		Revision: v.Revision,
		Leaving:  !ready,
		Stopped:  stopped,
		Problems: v.Problems,
	}
	if f.endpoint.Loads != nil {
		args.Loads = f.endpoint.Loads()
	}
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	if err := f.client.Call(ctx, wire.MethodReport, &args, &wire.Empty{}); err != nil {
		f.log.Debug().Err(err).Str("step", "report").Str("peer", f.endpoint.Agent).Msg("report to the agent failed")
	}
}

// version identifies the version of one object in force.
type version struct {
	Kind    model.Kind `json:"kind"`
	Name    string     `json:"name"`
	Version uint64     `json:"version"`
}

// versions returns the versions of the objects in force, sorted by kind and name.
func (f *Feed) versions() []version {
	out := make([]version, 0, len(f.objects))
	for id, o := range f.objects {
		out = append(out, version{id.Kind, id.Name, o.Version})
	}
	slices.SortFunc(out, func(a, b version) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// totals holds the lengths of the dump's lists before truncation.
type totals struct {
	Objects  int `json:"objects"`
	Members  int `json:"members"`
	Listed   int `json:"listed"`
	Grants   int `json:"grants"`
	Problems int `json:"problems"`
}

type dump struct {
	Source   string        `json:"source"`
	Revision uint64        `json:"revision"`
	State    uint64        `json:"state"`
	Totals   totals        `json:"totals"`
	Objects  []version     `json:"objects"`
	Members  []wire.Member `json:"members"`
	Listed   []wire.Place  `json:"listed"`
	Grants   []wire.Grant  `json:"grants"`
	Problems []string      `json:"problems"`
}

func (f *Feed) dump() dump {
	v := f.Current()
	f.mu.Lock()
	inForce := f.inForce
	f.mu.Unlock()
	return dump{
		Source: v.Source, Revision: v.Revision, State: v.State,
		Totals:  totals{len(inForce), len(v.Members), len(v.Listed), len(v.Grants), len(v.Problems)},
		Objects: daemon.TruncateForDump(inForce), Members: daemon.TruncateForDump(v.Members), Listed: daemon.TruncateForDump(v.Listed), Grants: daemon.TruncateForDump(v.Grants), Problems: daemon.TruncateForDump(v.Problems),
	}
}
