package ctl

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// Line is one line of a process's log.
type Line struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	VM      string    `json:"vm"`
	Step    string    `json:"step"`
	Message string    `json:"message"`
	// Fields are the remaining fields of the line.
	Fields map[string]any `json:"fields"`
}

// LogExplanation lists the collected log lines that concern one subject.
type LogExplanation struct {
	Subject string `json:"subject"`
	// Related are the services, targets and routes that the subject's own lines
	// name.
	Related []string `json:"related,omitempty"`
	Lines   []Line   `json:"lines"`
	// Gaps are the periods in which a VM wrote nothing while others did.
	Gaps []LogGap `json:"silences,omitempty"`
	// Skipped counts the input lines that are not log lines of a daemon.
	Skipped int `json:"skipped"`
}

// LogGap is a period in which a VM wrote no log lines: it was suspended, had ended, or
// had nothing to log. A request that it had already read may then have no line.
type LogGap struct {
	VM   string    `json:"vm"`
	From time.Time `json:"from"`
	// To is the time of the VM's next line or, without one, of the last line of all VMs.
	To time.Time `json:"to"`
	// Ended is true if the VM has no later line.
	Ended bool `json:"ended"`
}

const (
	// minLogGap is the shortest gap that is reported. Under load a VM writes tens of
	// lines per second.
	minLogGap = time.Second
	// contextBefore and contextAfter are the periods before the subject's first line
	// and after its last one from which related lines are shown. A lease, the grace
	// period of an outage and a takeover all take less time than that.
	contextBefore = 6 * time.Second
	contextAfter  = time.Second
	// requestStep is the step field of lines about single requests.
	requestStep = "request"
	// maxLineBytes limits the length of an input line.
	maxLineBytes = 1 << 20
)

// relatedFields are the fields that name what a request's outcome depended on.
var relatedFields = []string{"service", "target", "route"}

// ExplainLogs reads collected logs and returns, in order of time, the lines that mention
// the subject. Lines from around that time that are not about requests are included if
// they mention a service, target or route of the subject's lines.
func ExplainLogs(subject string, files []string) (*LogExplanation, error) {
	all, skipped, err := readLogs(files)
	if err != nil {
		return nil, err
	}
	a := &LogExplanation{Subject: subject, Skipped: skipped}
	a.selectLines(all)
	a.Gaps = findLogGaps(all)
	return a, nil
}

// readLogs returns the log lines of all files in order of time.
func readLogs(files []string) (all []Line, skipped int, err error) {
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, 0, fmt.Errorf("read log: %w", err)
		}
		lines, bad, err := readLines(f)
		f.Close()
		if err != nil {
			return nil, 0, fmt.Errorf("read log %s: %w", name, err)
		}
		all = append(all, lines...)
		skipped += bad
	}
	slices.SortStableFunc(all, func(x, y Line) int {
		return cmp.Or(x.Time.Compare(y.Time), cmp.Compare(x.VM, y.VM))
	})
	return all, skipped, nil
}

// findLogGaps returns the gaps of all VMs, in order of their start.
func findLogGaps(all []Line) []LogGap {
	if len(all) == 0 {
		return nil
	}
	var out []LogGap
	latest := make(map[string]time.Time)
	for _, l := range all {
		if from, ok := latest[l.VM]; ok && l.Time.Sub(from) >= minLogGap {
			out = append(out, LogGap{VM: l.VM, From: from, To: l.Time})
		}
		latest[l.VM] = l.Time
	}
	end := all[len(all)-1].Time
	for vm, from := range latest {
		if end.Sub(from) >= minLogGap {
			out = append(out, LogGap{VM: vm, From: from, To: end, Ended: true})
		}
	}
	slices.SortFunc(out, func(x, y LogGap) int { return cmp.Or(x.From.Compare(y.From), cmp.Compare(x.VM, y.VM)) })
	return out
}

// readLines parses each line from its first brace on, because log collectors prepend
// names and times.
func readLines(r io.Reader) (lines []Line, skipped int, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		at := bytes.IndexByte(in.Bytes(), '{')
		if at < 0 {
			skipped++
			continue
		}
		l, ok := parseLine(in.Bytes()[at:])
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, in.Err()
}

func parseLine(text []byte) (Line, bool) {
	var l Line
	if err := json.Unmarshal(text, &l); err != nil || l.VM == "" {
		return l, false
	}
	if err := json.Unmarshal(text, &l.Fields); err != nil {
		return l, false
	}
	for _, name := range []string{"time", "process", "vm", "step", "message", "level"} {
		delete(l.Fields, name)
	}
	return l, true
}

func (l Line) mentions(subject string) bool {
	for _, v := range l.Fields {
		if text := fmt.Sprint(v); text == subject || strings.Contains(text, subject) {
			return true
		}
	}
	return false
}

func (a *LogExplanation) selectLines(all []Line) {
	var first, last time.Time
	related := make(map[string]bool)
	for _, l := range all {
		if !l.mentions(a.Subject) {
			continue
		}
		if first.IsZero() {
			first = l.Time
		}
		last = l.Time
		collectRelated(l, related)
	}
	for _, l := range all {
		inContext := !first.IsZero() && l.Time.After(first.Add(-contextBefore)) && l.Time.Before(last.Add(contextAfter))
		if l.mentions(a.Subject) || inContext && l.Step != requestStep && mentionsAny(l, related) {
			a.Lines = append(a.Lines, l)
		}
	}
	for name := range related {
		a.Related = append(a.Related, name)
	}
	slices.Sort(a.Related)
}

// collectRelated adds the service and route of a line of the subject to related, and the
// targets that its request was sent to or refused for.
func collectRelated(l Line, related map[string]bool) {
	for _, field := range relatedFields {
		if v, ok := l.Fields[field].(string); ok {
			related[v] = true
		}
	}
	attempts, _ := l.Fields["attempts"].([]any)
	if on, ok := l.Fields["refusedOn"]; ok {
		attempts = append(attempts, on)
	}
	for _, attempt := range attempts {
		target, _, _ := strings.Cut(fmt.Sprint(attempt), " ")
		related[target] = true
	}
}

func mentionsAny(l Line, subjects map[string]bool) bool {
	for s := range subjects {
		if l.mentions(s) {
			return true
		}
	}
	return false
}

// Text returns the explanation as text, one log line a line. Without log lines it lists
// the gaps.
func (a *LogExplanation) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d lines, related: %s\n", a.Subject, len(a.Lines), strings.Join(a.Related, " "))
	for _, l := range a.Lines {
		names := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			names = append(names, name)
		}
		slices.Sort(names)
		fmt.Fprintf(&b, "%s %s %s: %s", l.Time.Format("15:04:05.000"), l.VM, l.Step, l.Message)
		for _, name := range names {
			fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
		}
		b.WriteString("\n")
	}
	if len(a.Lines) == 0 {
		a.writeGaps(&b)
	}
	return b.String()
}

// writeGaps lists the VMs that may have read a request without logging it.
func (a *LogExplanation) writeGaps(b *strings.Builder) {
	b.WriteString("no log line mentions it: it was not read, its line was omitted (log.requests.omitted), or its VM ended or was suspended:\n")
	for _, s := range a.Gaps {
		until := "until " + s.To.Format("15:04:05.000")
		if s.Ended {
			until = "to the end of the logs"
		}
		fmt.Fprintf(b, "%s %s wrote nothing %s\n", s.From.Format("15:04:05.000"), s.VM, until)
	}
}
