package loadgen

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hemlockquay/internal/problem"
	"hemlockquay/internal/standin"
)

// maxConnections bounds the connections to one entry.
const maxConnections = 256

// graceAfter is how much longer than its deadline a request is waited for.
const graceAfter = time.Second

// runner carries out one experiment.
type runner struct {
	experiment *Experiment
	http       *http.Client
	tallies    []*tally
	prefix     string
}

// Run offers the load and returns the report.
func Run(ctx context.Context, e *Experiment) (*Report, error) {
	r := &runner{
		experiment: e,
		http:       &http.Client{Transport: &http.Transport{MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: maxConnections, DisableCompression: true}},
		prefix:     strconv.FormatInt(time.Now().UnixNano(), 36),
	}
	defer r.http.CloseIdleConnections()
	var streams sync.WaitGroup
	for i := range e.Workloads {
		t := newTally(&e.Workloads[i])
		r.tallies = append(r.tallies, t)
		streams.Go(func() { r.stream(ctx, i, t) })
	}
	streams.Wait()
	report := &Report{Seconds: e.Duration.D().Seconds()}
	for _, t := range r.tallies {
		report.Workloads = append(report.Workloads, t.result())
	}
	return report, r.verify(report)
}

// stream sends one workload's requests at their planned times.
func (r *runner) stream(ctx context.Context, index int, t *tally) {
	random := rand.New(rand.NewPCG(r.experiment.Seed, uint64(index)))
	keys := newKeys(t.workload, random)
	begin := time.Now()
	var requests sync.WaitGroup
	defer requests.Wait()
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / t.workload.Rate * float64(time.Second))
		if at > r.experiment.Duration.D() {
			return
		}
		select {
		case <-time.After(time.Until(begin.Add(at))):
		case <-ctx.Done():
			return
		}
		id := fmt.Sprintf("%s-%d-%d", r.prefix, index, n)
		key, entry := keys.next(), r.experiment.Entries[n%len(r.experiment.Entries)]
		requests.Go(func() { r.request(ctx, t, id, key, entry, begin.Add(at)) })
	}
}

func (r *runner) request(ctx context.Context, t *tally, id, key, entry string, planned time.Time) {
	w := t.workload
	ctx, cancel := context.WithDeadline(ctx, planned.Add(w.Deadline.D()+graceAfter))
	defer cancel()
	body := bytes.Repeat([]byte("b"), w.BodyBytes)
	req, err := http.NewRequestWithContext(ctx, w.Method, entry+"/s/"+w.Service+"/work", bytes.NewReader(body))
	if err != nil {
		t.lost(id, err)
		return
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+w.Token)
	req.Header.Set("Hq-Deadline-Ms", strconv.FormatInt(w.Deadline.D().Milliseconds(), 10))
	req.Header.Set(standin.HeaderLoadID, id)
	req.Header.Set(standin.HeaderLoadSize, strconv.Itoa(w.AnswerBytes))
	if key != "" {
		req.Header.Set("Hq-Key", key)
	}
	resp, err := r.http.Do(req)
	if err != nil {
		t.lost(id, err)
		return
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	took := time.Since(planned)
	if err != nil {
		t.lost(id, err)
		return
	}
	switch problem.Ran(resp.Header.Get(problem.Header)) {
	case problem.RanYes:
		whole := bytes.Equal(answer, standin.Answer(id, w.AnswerBytes, body))
		t.answered(id, took, whole)
	case problem.RanNo:
		t.refused(id, took, resp.StatusCode)
	default:
		t.unknown(id, took, resp.StatusCode)
	}
}

// keys draws keys by popularity.
type keys struct {
	service string
	random  *rand.Rand
	zipf    *rand.Zipf
	count   int
}

func newKeys(w *Workload, random *rand.Rand) *keys {
	k := &keys{service: w.Service, random: random, count: w.Keys}
	if w.Keys > 0 && w.Zipf > 1 {
		k.zipf = rand.NewZipf(random, w.Zipf, 1, uint64(w.Keys-1))
	}
	return k
}

func (k *keys) next() string {
	switch {
	case k.count == 0:
		return ""
	case k.zipf != nil:
		return fmt.Sprintf("%s-key-%d", k.service, k.zipf.Uint64())
	}
	return fmt.Sprintf("%s-key-%d", k.service, k.random.IntN(k.count))
}
