package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"hemlockquay/internal/daemon"
	"hemlockquay/internal/platform"
)

// Settings are the settings of hq-standin.
type Settings struct {
	// Store is the IP:PORT at which the object store listens.
	Store string `json:"store"`
	// Admin is the IP:PORT at which the admin interface for faults and the ledger listens.
	Admin string `json:"admin"`
	// Targets are the simulated targets.
	Targets []TargetConfig `json:"targets"`
	// VMs is the initial list of VMs that the store returns.
	VMs []platform.VM `json:"vms"`
}

// Check implements settings.Checker.
func (s *Settings) Check() error {
	if err := daemon.CheckAddr("/store", s.Store); err != nil {
		return err
	}
	return daemon.CheckAddr("/admin", s.Admin)
}

// Run serves the object store, the targets and the admin interface until the context ends.
func Run(ctx context.Context, s *Settings) error {
	w := &Environment{Store: NewStore(), Ledger: NewLedger()}
	w.Store.Backend().SetVMs(s.VMs)
	for _, c := range s.Targets {
		t, err := NewServer(c, w.Ledger)
		if err != nil {
			return err
		}
		defer t.Kill()
		w.Targets = append(w.Targets, t)
	}
	serveErrors := make(chan error, 2)
	for addr, handler := range map[string]http.Handler{s.Store: w.Store.Handler(), s.Admin: w.AdminHandler()} {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		server := &http.Server{Handler: handler}
		defer server.Close()
		go func() { serveErrors <- server.Serve(listener) }()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-serveErrors:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return fmt.Errorf("serve: %w", err)
	}
}
