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

// Account is what the VMs did about one subject, in order of cause.
type Account struct {
	Subject string `json:"subject"`
	// Related are the subjects that the first one led to.
	Related []string        `json:"related,omitempty"`
	Entries []journal.Entry `json:"entries"`
	// Missing names the daemons that did not answer.
	Missing []string `json:"missing,omitempty"`
}

// Explain merges the journals of all VMs about a key, customer, target, group,
// service or request id.
func (f *Fleet) Explain(ctx context.Context, subject string) (*Account, error) {
	entries, missing, err := f.journals(ctx)
	if err != nil {
		return nil, err
	}
	a := &Account{Subject: subject, Missing: missing}
	if l, err := f.Store.List(ctx); err == nil {
		a.Related = groupsOf(subject, l.Objects)
	}
	a.Entries = Order(Select(entries, append([]string{subject}, a.Related...)))
	return a, nil
}

// groupsOf names the groups that a key falls into, one for each keyed service.
// A subject that names a customer, service or target is no key.
func groupsOf(subject string, objects []platform.Object) []string {
	var out []string
	for _, o := range objects {
		decoded, err := model.Decode(o.Kind, o.Name, o.Spec)
		if err != nil {
			continue
		}
		switch typed := decoded.(type) {
		case *model.Assignment:
			out = append(out, groupsAt(typed, keyspace.PointOf(subject))...)
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

func groupsAt(a *model.Assignment, p keyspace.Point) []string {
	for _, g := range a.Groups {
		for _, s := range g.Slices {
			if s.Contains(p) {
				return []string{journal.Group(a.Service, g.ID)}
			}
		}
	}
	return nil
}

// journals returns the entries of all daemons, and those that did not answer.
func (f *Fleet) journals(ctx context.Context) ([]journal.Entry, []string, error) {
	daemons, err := f.daemons(ctx)
	if err != nil {
		return nil, nil, err
	}
	var mu sync.Mutex
	var entries []journal.Entry
	var missing []string
	var asks errgroup.Group
	asks.SetLimit(askAtOnce)
	for _, d := range daemons {
		asks.Go(func() error {
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
	_ = asks.Wait()
	slices.Sort(missing)
	return entries, missing, nil
}

// Select returns the entries that name one of the subjects.
func Select(entries []journal.Entry, subjects []string) []journal.Entry {
	var out []journal.Entry
	for _, e := range entries {
		if slices.ContainsFunc(e.Subjects, func(s string) bool { return slices.Contains(subjects, s) }) {
			out = append(out, e)
		}
	}
	return out
}

// process names one life of a daemon.
type process struct{ vm, name string }

// Order sorts entries of several daemons by cause as far as it can be known: by
// wall time, but never against the order within one daemon.
// An entry counts as not earlier than the one before it in the same daemon, as a clock may have been
// set back between them.
func Order(entries []journal.Entry) []journal.Entry {
	out := slices.Clone(entries)
	slices.SortStableFunc(out, func(a, b journal.Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	latest := make(map[process]time.Time)
	effective := make(map[process]map[uint64]time.Time)
	for _, e := range out {
		p := process{e.VM, e.Process}
		if e.At.After(latest[p]) {
			latest[p] = e.At
		}
		if effective[p] == nil {
			effective[p] = make(map[uint64]time.Time)
		}
		effective[p][e.Seq] = latest[p]
	}
	at := func(e journal.Entry) time.Time { return effective[process{e.VM, e.Process}][e.Seq] }
	slices.SortStableFunc(out, func(a, b journal.Entry) int {
		return cmp.Or(at(a).Compare(at(b)), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Seq, b.Seq))
	})
	return out
}

// Text renders the account in plain sentences.
func (a *Account) Text() string {
	var out strings.Builder
	for _, e := range a.Entries {
		fmt.Fprintf(&out, "%s  %s %s: %s: %s\n", e.At.Format("2006-01-02 15:04:05.000"), e.VM, e.Process, e.Step, e.Text)
	}
	if len(a.Entries) == 0 {
		fmt.Fprintf(&out, "no journal names %s; a journal keeps only the last decisions of a running daemon\n", a.Subject)
	}
	if len(a.Missing) > 0 {
		fmt.Fprintf(&out, "not asked, did not answer: %s\n", strings.Join(a.Missing, ", "))
	}
	return out.String()
}
