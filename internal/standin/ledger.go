package standin

import (
	"bytes"
	"fmt"
	"sync"

	"hemlockquay/internal/wire"
)

// Ledger records which targets ran which request, so that the load generator can check
// how often each request ran.
type Ledger struct {
	mu   sync.Mutex
	runs map[string][]string
}

// NewLedger returns a ledger without records.
func NewLedger() *Ledger { return &Ledger{runs: make(map[string][]string)} }

func (l *Ledger) record(id, target string) {
	if id == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], target)
}

// Runs returns how often each of the requests ran, in the order of ids.
func (l *Ledger) Runs(ids []string) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]int, len(ids))
	for i, id := range ids {
		out[i] = len(l.runs[id])
	}
	return out
}

// Clear removes all records.
func (l *Ledger) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = make(map[string][]string)
}

// AnswerBody returns the response body of a simulated target: a line with the request ID
// and the checksum of the request body, then padding made from the ID. The caller can
// check that the response is complete and belongs to its request.
func AnswerBody(id string, size int, body []byte) []byte {
	head := fmt.Appendf(nil, "%s %016x\n", id, wire.Sum(body))
	if size <= len(head) {
		return head
	}
	filler := bytes.Repeat([]byte(id+"."), (size-len(head))/(len(id)+1)+1)
	return append(head, filler[:size-len(head)]...)
}
