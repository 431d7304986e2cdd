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

// Settings describe a stand-in process.
type Settings struct {
	// Store is the IP:PORT of the object store.
	Store string `json:"store"`
	// Admin is the IP:PORT for faults and the ledger.
	Admin string `json:"admin"`
	// Targets are the target servers.
	Targets []TargetConfig `json:"targets"`
	// VMs is the platform's list.
	VMs []platform.VM `json:"vms"`
}

// Check implements settings.Checker.
func (s *Settings) Check() error {
	if err := daemon.CheckAddr("/store", s.Store); err != nil {
		return err
	}
	return daemon.CheckAddr("/admin", s.Admin)
}

// Run plays the outside systems until the context ends.
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
