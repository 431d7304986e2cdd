// Package journal keeps the last decisions of a process that changed
// something: a move, a takeover, a refusal policy, a quarantine.
//
// VMs have no disk, so the journal is bounded and in memory; hqctl explain
// merges the journals of all VMs into one account.
package journal

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Entry is one decision with its cause.
type Entry struct {
	// At is the wall time of the decision.
	At time.Time `json:"at"`
	// Seq orders the entries of one process.
	Seq uint64 `json:"seq"`
	// VM and Process name the decider.
	VM      string `json:"vm"`
	Process string `json:"process"`
	// Step is what was being done, e.g. "grant" or "admission".
	Step string `json:"step"`
	// Subjects are what the decision is about: a key, group, customer, target,
	// service or request id.
	Subjects []string `json:"subjects"`
	// Text is one plain sentence, cause included.
	Text string `json:"text"`
}

// Group is the subject that names a group of a service.
func Group(service string, id uint64) string { return fmt.Sprintf("%s/%d", service, id) }

// Version is the subject that names one version of an object.
func Version(name string, version uint64) string { return fmt.Sprintf("%s@%d", name, version) }

// maxSteps bounds how many steps have a list of their own; more share one.
const maxSteps = 32

// otherSteps is the list that is shared.
const otherSteps = ""

// Journal is a bounded list of entries for each step, the oldest overwritten
// first. It is safe for concurrent use.
//
// Load pattern: changes of configuration come a thousand times as often as
// moves of keys. In one list they would push out the entry that explains a move
// within the hour.
type Journal struct {
	vm, process string
	length      int

	mu    sync.Mutex
	lists map[string]*list
	seq   uint64
}

// list is the entries of one step.
type list struct {
	entries []Entry
	next    int
}

// New returns a journal of at most length entries for each step.
func New(vm, process string, length int) *Journal {
	return &Journal{vm: vm, process: process, length: length, lists: make(map[string]*list)}
}

// Add records a decision about the subjects.
func (j *Journal) Add(step, text string, subjects ...string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.seq++
	e := Entry{At: time.Now().UTC(), Seq: j.seq, VM: j.vm, Process: j.process, Step: step, Subjects: subjects, Text: text}
	l := j.listOf(step)
	if len(l.entries) < j.length {
		l.entries = append(l.entries, e)
		return
	}
	l.entries[l.next] = e
	l.next = (l.next + 1) % len(l.entries)
}

// listOf needs j.mu.
func (j *Journal) listOf(step string) *list {
	if l := j.lists[step]; l != nil {
		return l
	}
	if len(j.lists) >= maxSteps {
		step = otherSteps
	}
	if j.lists[step] == nil {
		j.lists[step] = new(list)
	}
	return j.lists[step]
}

// Entries returns a copy of the journal, oldest first.
func (j *Journal) Entries() []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make([]Entry, 0, j.length)
	for _, l := range j.lists {
		out = append(out, l.entries...)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	return out
}
