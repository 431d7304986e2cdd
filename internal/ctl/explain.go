package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hemlockquay/internal/journal"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
)

// Explanation lists what the VMs did about one subject, causes before effects.
type Explanation struct {
	Subject string `json:"subject"`
	// Related are the groups that the subject falls into if it is a key. Their
	// entries are included.
	Related []string        `json:"related,omitempty"`
	Entries []journal.Entry `json:"entries"`
	// Missing lists the daemons that did not answer, as VM/process.
	Missing []string `json:"missing,omitempty"`
}

// Explain merges the entries about a key, customer, target, group, service or request
// ID from the journals of all VMs.
func (f *Fleet) Explain(ctx context.Context, subject string) (*Explanation, error) {
	entries, missing, err := f.journals(ctx)
	if err != nil {
		return nil, err
	}
	a := &Explanation{Subject: subject, Missing: missing}
	if l, err := f.Store.List(ctx); err == nil {
		a.Related = keyGroups(subject, l.Objects)
	}
	a.Entries = SortByCause(FilterBySubject(entries, append([]string{subject}, a.Related...)))
	return a, nil
}

// keyGroups returns the groups that a key falls into, one for each keyed service. It
// returns none for a subject that is a customer, a service or a target.
func keyGroups(subject string, objects []platform.Object) []string {
	var out []string
	for _, o := range objects {
		decoded, err := model.Decode(o.Kind, o.Name, o.Spec)
		if err != nil {
			continue
		}
		switch typed := decoded.(type) {
		case *model.Assignment:
			out = append(out, groupAtPoint(typed, keyspace.PointOf(subject))...)
		case *model.Contract:
			if typed.Customer == subject {
				return nil
			}
		case *model.Service:
			if _, target := typed.Target(subject); target || typed.Name == subject {
				return nil
			}
		}
	}
	return out
}

func groupAtPoint(a *model.Assignment, p keyspace.Point) []string {
	for _, g := range a.Groups {
		for _, s := range g.Slices {
			if s.Contains(p) {
				return []string{journal.GroupSubject(a.Service, g.ID)}
			}
		}
	}
	return nil
}

// journals returns the journal entries of all daemons, and the daemons that did not
// answer.
func (f *Fleet) journals(ctx context.Context) ([]journal.Entry, []string, error) {
	daemons, err := f.daemons(ctx)
	if err != nil {
		return nil, nil, err
	}
	var mu sync.Mutex
	var entries []journal.Entry
	var missing []string
	var queries errgroup.Group
	queries.SetLimit(maxConcurrentQueries)
	for _, d := range daemons {
		queries.Go(func() error {
			var got []journal.Entry
			err := f.get(ctx, d.addr, "/journal", &got)
			mu.Lock()
			defer mu.Unlock()
			entries = append(entries, got...)
			if err != nil {
				missing = append(missing, d.vm+"/"+d.process)
			}
			return nil
		})
	}
	_ = queries.Wait()
	slices.Sort(missing)
	return entries, missing, nil
}

// FilterBySubject returns the entries that have one of the subjects.
func FilterBySubject(entries []journal.Entry, subjects []string) []journal.Entry {
	var out []journal.Entry
	for _, e := range entries {
		if slices.ContainsFunc(e.Subjects, func(s string) bool { return slices.Contains(subjects, s) }) {
			out = append(out, e)
		}
	}
	return out
}

// daemonID identifies a daemon by its VM and its process name.
type daemonID struct{ vm, name string }

// SortByCause sorts the entries of several daemons so that causes precede effects, as
// far as that can be known: by wall time, but always in sequence within one daemon.
// A VM's clock may have been set back between two entries, so an entry is taken to be
// no earlier than its predecessor in the same daemon.
func SortByCause(entries []journal.Entry) []journal.Entry {
	out := slices.Clone(entries)
	slices.SortStableFunc(out, func(a, b journal.Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	latest := make(map[daemonID]time.Time)
	adjusted := make(map[daemonID]map[uint64]time.Time)
	for _, e := range out {
		p := daemonID{e.VM, e.Process}
		if e.At.After(latest[p]) {
			latest[p] = e.At
		}
		if adjusted[p] == nil {
			adjusted[p] = make(map[uint64]time.Time)
		}
		adjusted[p][e.Seq] = latest[p]
	}
	at := func(e journal.Entry) time.Time { return adjusted[daemonID{e.VM, e.Process}][e.Seq] }
	slices.SortStableFunc(out, func(a, b journal.Entry) int {
		return cmp.Or(at(a).Compare(at(b)), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Seq, b.Seq))
	})
	return out
}

// Text returns the explanation as text, one entry a line.
func (a *Explanation) Text() string {
	var out strings.Builder
	for _, e := range a.Entries {
		fmt.Fprintf(&out, "%s  %s %s: %s: %s\n", e.At.Format("2006-01-02 15:04:05.000"), e.VM, e.Process, e.Step, e.Text)
	}
	if len(a.Entries) == 0 {
		fmt.Fprintf(&out, "no journal entry about %s; a journal keeps only the most recent decisions of a running daemon\n", a.Subject)
	}
	if len(a.Missing) > 0 {
		fmt.Fprintf(&out, "daemons that did not answer: %s\n", strings.Join(a.Missing, ", "))
	}
	return out.String()
}
