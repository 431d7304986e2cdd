package standin

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"hemlockquay/internal/platform"
)

// Environment holds the simulated systems of one process.
type Environment struct {
	Store   *Store
	Ledger  *Ledger
	Targets []*Server
}

// RunsQuery is the body of POST /ledger/runs. It asks how often requests ran.
type RunsQuery struct {
	IDs []string `json:"ids"`
}

// RunsReply is the response to a RunsQuery, in the order of its IDs.
type RunsReply struct {
	Runs []int `json:"runs"`
}

// TargetState is a target's entry in the admin listing.
type TargetState struct {
	Config TargetConfig `json:"config"`
	Faults TargetFaults `json:"faults"`
	Up     bool         `json:"up"`
}

// AdminHandler returns the HTTP interface that injects faults and reads the ledger.
func (w *Environment) AdminHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "alive\n") })
	e.GET("/targets", func(c *gin.Context) { c.JSON(http.StatusOK, w.targetStates()) })
	e.GET("/store", func(c *gin.Context) {
		c.JSON(http.StatusOK, gin.H{"faults": w.Store.Faults(), "calls": w.Store.Calls()})
	})
	e.PUT("/store/faults", bind(func(f StoreFaults) any { w.Store.SetFaults(f); return f }))
	e.PUT("/vms", bind(func(vms []platform.VM) any { w.Store.Backend().SetVMs(vms); return vms }))
	e.POST("/ledger/runs", bind(func(q RunsQuery) any { return RunsReply{Runs: w.Ledger.Runs(q.IDs)} }))
	e.DELETE("/ledger", func(c *gin.Context) { w.Ledger.Clear(); c.Status(http.StatusNoContent) })
	e.PUT("/targets/:name/faults", w.withTarget(func(c *gin.Context, t *Server) {
		bind(func(f TargetFaults) any { t.SetFaults(f); return f })(c)
	}))
	e.POST("/targets/:name/kill", w.withTarget(func(c *gin.Context, t *Server) {
		t.Kill()
		c.Status(http.StatusNoContent)
	}))
	e.POST("/targets/:name/restart", w.withTarget(func(c *gin.Context, t *Server) {
		if err := t.Restart(); err != nil {
			c.String(http.StatusInternalServerError, "%v\n", err)
			return
		}
		c.Status(http.StatusNoContent)
	}))
	return e
}

func bind[T any](do func(T) any) gin.HandlerFunc {
	return func(c *gin.Context) {
		var in T
		if err := c.ShouldBindJSON(&in); err != nil {
			c.String(http.StatusBadRequest, "%v\n", err)
			return
		}
		c.JSON(http.StatusOK, do(in))
	}
}

func (w *Environment) withTarget(do func(*gin.Context, *Server)) gin.HandlerFunc {
	return func(c *gin.Context) {
		for _, t := range w.Targets {
			if t.Config().Name == c.Param("name") {
				do(c, t)
				return
			}
		}
		c.String(http.StatusNotFound, "no target %s\n", c.Param("name"))
	}
}

func (w *Environment) targetStates() []TargetState {
	out := make([]TargetState, 0, len(w.Targets))
	for _, t := range w.Targets {
		t.mu.Lock()
		out = append(out, TargetState{Config: t.config, Faults: t.faults, Up: t.process != nil})
		t.mu.Unlock()
	}
	return out
}
