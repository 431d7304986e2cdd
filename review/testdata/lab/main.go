// Command lab runs the cases of the review: the project's gateways as processes, with stand-ins for the store, the
// servers and the consumers on loopback addresses. It exits with 1 if a rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// experiment is one case. It returns the findings that break its rule.
type experiment func(l *lab, trouble bool) (broken []string, err error)

var experiments = map[string]experiment{
	"copies":      copies,
	"descriptors": descriptors,
	"lanes":       lanes,
	"pieces":      pieces,
	"chunks":      chunks,
}

// maxPrinted bounds the findings that are printed; the record holds all.
const maxPrinted = 20

// maxTime bounds a run.
const maxTime = 112 * time.Second

func main() {
	if len(os.Args) != 3 || experiments[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE DIR")
		os.Exit(2)
	}
	// A reader of the output that ends must not end this program before it has ended the gateways.
	signal.Ignore(syscall.SIGPIPE)
	os.Exit(run(experiments[os.Args[1]], os.Args[2]))
}

func run(e experiment, dir string) int {
	record, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	l, err := newLab(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer l.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.printf("trouble %t", trouble)
	broken, err := e.within(l, trouble)
	if err != nil {
		record.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	for i, b := range broken {
		record.printf("BROKEN %s", b)
		if i < maxPrinted {
			fmt.Println("BROKEN", b)
		}
	}
	if len(broken) > 0 {
		return 1
	}
	record.printf("held")
	fmt.Println("held")
	return 0
}

// within runs the case for maxTime at most, and ends it early on a signal.
func (e experiment) within(l *lab, trouble bool) ([]string, error) {
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := e(l, trouble)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-done:
		return r.broken, r.err
	case <-signals:
		return nil, errors.New("ended by a signal")
	case <-time.After(maxTime):
		return nil, errors.New("takes too long")
	}
}
