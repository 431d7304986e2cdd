// Package journal keeps the last decisions of a process that changed
// something: a move, a takeover, a refusal policy, a quarantine.
//
// VMs have no disk, so the journal is bounded and in memory; hqctl explain
// merges the journals of all VMs into one account.
package journal

import (
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
	// Subjects are what the decision is about: a key, slice, customer, target
	// or request id.
	Subjects []string `json:"subjects"`
	// Text is one plain sentence, cause included.
	Text string `json:"text"`
}

// Journal is a bounded list of entries, the oldest overwritten first.
// It is safe for concurrent use.
type Journal struct {
	vm, process string

	mu      sync.Mutex
	entries []Entry
	next    int
	seq     uint64
}

// New returns a journal of at most length entries.
func New(vm, process string, length int) *Journal {
	return &Journal{vm: vm, process: process, entries: make([]Entry, 0, length)}
}

// Add records a decision about the subjects.
func (j *Journal) Add(step, text string, subjects ...string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.seq++
	e := Entry{At: time.Now().UTC(), Seq: j.seq, VM: j.vm, Process: j.process, Step: step, Subjects: subjects, Text: text}
	if len(j.entries) < cap(j.entries) {
		j.entries = append(j.entries, e)
		return
	}
	j.entries[j.next] = e
	j.next = (j.next + 1) % len(j.entries)
}

// Entries returns a copy of the journal, oldest first.
func (j *Journal) Entries() []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make([]Entry, 0, len(j.entries))
	out = append(out, j.entries[j.next:]...)
	return append(out, j.entries[:j.next]...)
}
