// Package journal keeps the latest decisions of a process that changed its state: a
// move, a takeover, a refusal policy, a quarantine.
//
// VMs have no disk, so the journal is bounded and in memory. hqctl explain merges the
// journals of all VMs into one history.
package journal

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Entry records one decision and its cause.
type Entry struct {
	// At is the wall time of the decision.
	At time.Time `json:"at"`
	// Seq is the number of the entry among all entries of its process.
	Seq uint64 `json:"seq"`
	// VM and Process name the process that took the decision.
	VM      string `json:"vm"`
	Process string `json:"process"`
	// Step names the activity that the decision belongs to, such as "grant" or "admission".
	Step string `json:"step"`
	// Subjects names what the decision is about: keys, groups, customers, targets,
	// services or request IDs.
	Subjects []string `json:"subjects"`
	// Text describes the decision and its cause in one sentence.
	Text string `json:"text"`
}

// GroupSubject returns the subject for a group of a service.
func GroupSubject(service string, id uint64) string { return fmt.Sprintf("%s/%d", service, id) }

// Version returns the subject for one version of an object.
func Version(name string, version uint64) string { return fmt.Sprintf("%s@%d", name, version) }

// maxSteps bounds the number of steps with a list of their own. All further steps share one list.
const maxSteps = 32

// otherSteps is the name of the shared list.
const otherSteps = ""

// Journal keeps a bounded list of entries for each step; a new entry overwrites the
// oldest one. It is safe for concurrent use.
//
// Each step has its own list because configuration changes are a thousand times as
// frequent as moves of keys. In a single list they would overwrite the entry that
// explains a move within an hour.
type Journal struct {
	vm, process string
	length      int

	mu    sync.Mutex
	lists map[string]*list
	seq   uint64
}

// list holds the entries of one step in a circular buffer; next is the index of the oldest.
type list struct {
	entries []Entry
	next    int
}

// New returns a journal that keeps at most length entries for each step.
func New(vm, process string, length int) *Journal {
	return &Journal{vm: vm, process: process, length: length, lists: make(map[string]*list)}
}

// Add adds an entry for a decision about the subjects.
func (j *Journal) Add(step, text string, subjects ...string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.seq++
	e := Entry{At: time.Now().UTC(), Seq: j.seq, VM: j.vm, Process: j.process, Step: step, Subjects: subjects, Text: text}
	l := j.listFor(step)
	if len(l.entries) < j.length {
		l.entries = append(l.entries, e)
		return
	}
	l.entries[l.next] = e
	l.next = (l.next + 1) % len(l.entries)
}

// listFor returns the list that holds the step's entries. The caller must hold j.mu.
func (j *Journal) listFor(step string) *list {
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

// Entries returns a copy of all entries, oldest first.
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
