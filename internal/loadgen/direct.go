package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"hemlockquay/internal/standin"
)

// targets returns the base URLs of the targets of a direct workload, as the stand-in lists them,
// or nil for other workloads.
func (r *runner) targets(ctx context.Context, w *Workload) ([]string, error) {
	if !w.Direct {
		return nil, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.experiment.Standin+"/targets", nil)
	if err != nil {
		return nil, fmt.Errorf("list targets: %w", err)
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("list targets: %w", err)
	}
	defer resp.Body.Close()
	var states []standin.TargetState
	if err := json.NewDecoder(resp.Body).Decode(&states); err != nil {
		return nil, fmt.Errorf("list targets: %w", err)
	}
	var out []string
	for _, s := range states {
		if s.Config.Service == w.Service {
			out = append(out, "http://"+s.Config.Addr)
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("list targets: service %q has none", w.Service)
	}
	return out, nil
}
