package standin

import (
	"bytes"
	"fmt"
	"sync"

	"hemlockquay/internal/wire"
)

// Ledger records which targets ran which request, so that the load tool can
// check the promises about running.
type Ledger struct {
	mu   sync.Mutex
	runs map[string][]string
}

// NewLedger returns an empty ledger.
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

// Clear empties the ledger.
func (l *Ledger) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = make(map[string][]string)
}

// AnswerBody is the body that a stand-in target returns for a request: a line that
// names the request and the sum of its body, then filler made from the id. A
// caller can check that the answer is whole and its own.
func AnswerBody(id string, size int, body []byte) []byte {
	head := fmt.Appendf(nil, "%s %016x\n", id, wire.Sum(body))
	if size <= len(head) {
		return head
	}
	filler := bytes.Repeat([]byte(id+"."), (size-len(head))/(len(id)+1)+1)
	return append(head, filler[:size-len(head)]...)
}
