package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"hemlockquay/internal/pipeline"
)

const (
	// headerTimeout bounds how long a caller may take to send its headers. It is above what configurations allow.
	headerTimeout = 10 * time.Second
	// defaultIdleTimeout is how long a caller's connection may be idle if the configuration does not say it.
	defaultIdleTimeout = 75 * time.Second
	// connectionMemoryShare is the fraction of the VM's memory for callers' connections and the requests that run, without
	// bodies and responses.
	connectionMemoryShare = 0.25
	// requestMemory is the memory in bytes of a request that runs: the buffers and goroutines of package net/http, its
	// headers, and its part of a connection to a target.
	requestMemory = 40 << 10
)

// newFront returns the HTTP server for callers.
func (g *Gateway) newFront() *http.Server {
	s := &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: defaultIdleTimeout,
		BaseContext: func(net.Listener) context.Context { return g.requestCtx },
	}
	pipeline.Attach(s)
	return s
}

// newCallerListener returns the connections of callers that l accepts.
func (g *Gateway) newCallerListener(l net.Listener) *pipeline.Listener {
	p := g.settings.Pipeline
	return pipeline.NewListener(l, pipeline.Limits{
		Requests: max(p.Requests, 1), ReadAhead: p.ReadAhead, HeaderTimeout: headerTimeout, WriteTimeout: p.WriteTimeout.D(),
		IdleTimeout: g.idleTimeout, Memory: int64(g.settings.MemoryMB * connectionMemoryShare * (1 << 20)), RequestMemory: requestMemory,
	}, g.registry)
}

// idleTimeout returns how long a caller's connection may be idle.
func (g *Gateway) idleTimeout() time.Duration {
	if routes := g.state.view.Load().Routes; routes != nil && routes.Config().Limits.IdleTimeout > 0 {
		return routes.Config().Limits.IdleTimeout
	}
	return defaultIdleTimeout
}
