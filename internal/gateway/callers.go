package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"hemlockquay/internal/pipeline"
)

const (
	// headerTimeout bounds how long a caller may take to send its headers if the configuration does not say it.
	headerTimeout = 10 * time.Second
	// defaultIdleTimeout is how long a caller's connection may be idle if the configuration does not say it.
	defaultIdleTimeout = 75 * time.Second
	// connectionMemoryShare is the fraction of the VM's memory for callers' connections and the requests that run, without
	// bodies and responses, within the memory of all requests.
	connectionMemoryShare = 0.4
	// requestMemory is the memory in bytes of a request that runs: the buffers and goroutines of package net/http, its
	// headers, the bytes of its body that the connection holds, its part of a connection to a target, and a response that
	// needs no reservation of its own.
	requestMemory = 72 << 10
	// callerDescriptorShare and targetDescriptorShare are the fractions of the process's descriptors that connections of
	// callers and those to targets may take, within connectionDescriptors.
	callerDescriptorShare, targetDescriptorShare = 0.75, 0.5
	// peerDescriptorShare is the fraction of the process's descriptors for connections of other VMs, and peerMemoryShare that of
	// the VM's memory for messages that are being received from them.
	peerDescriptorShare, peerMemoryShare = 0.25, 0.5
	// storeMemoryShare is the fraction of the VM's memory for answers of the store that are being read.
	storeMemoryShare = 0.25
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
		Requests: max(p.Requests, 1), ReadAhead: p.ReadAhead, HeaderTimeout: headerTimeout, Heads: g.headLimits, WriteTimeout: p.WriteTimeout.D(),
		IdleTimeout: g.idleTimeout, OnAcceptError: g.newAcceptErrorLog(g.settings.Front), Memory: g.settings.memoryShare(connectionMemoryShare), RequestMemory: requestMemory,
		ReceiveBuffer:   g.settings.Limits.ReceiveBuffer,
		Clock:           g.clock,
		Stalls:          g.stalls,
		MemoryShare:     g.memory.Share(g.settings.memoryShare(connectionMemoryShare)),
		DescriptorShare: g.descriptors.Share(g.settings.descriptorShare(callerDescriptorShare)),
	}, g.registry)
}

// readyMemory bounds the memory in bytes of connections to the address of the readiness check, whose requests have no body and
// whose responses none either.
const readyMemory = 4 << 20

// newReadyListener returns the connections to the address of the readiness check that l accepts.
func (g *Gateway) newReadyListener(l net.Listener) *pipeline.Listener {
	return pipeline.NewListener(l, pipeline.Limits{
		Name: "ready", Requests: 1, HeaderTimeout: headerTimeout, WriteTimeout: g.settings.Pipeline.WriteTimeout.D(), IdleTimeout: g.idleTimeout,
		ReceiveBuffer: minReceiveBuffer, Connections: g.settings.Limits.ReadyConnections, Memory: readyMemory, RequestMemory: requestMemory,
		OnAcceptError: g.newAcceptErrorLog(g.settings.Ready),
	}, g.registry)
}

// headLimits returns the limits of the configuration for the head of a request, 0 where it states none.
func (g *Gateway) headLimits() (maxBytes int, timeout time.Duration) {
	if routes := g.state.view.Load().Routes; routes != nil {
		return routes.Config().Limits.HeaderBytes, routes.Config().Limits.HeaderTimeout
	}
	return 0, 0
}

// idleTimeout returns how long a caller's connection may be idle.
func (g *Gateway) idleTimeout() time.Duration {
	if routes := g.state.view.Load().Routes; routes != nil && routes.Config().Limits.IdleTimeout > 0 {
		return routes.Config().Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

// newAcceptErrorLog returns a function that logs errors of the listener at an address.
func (g *Gateway) newAcceptErrorLog(addr string) func(error) {
	lines := rate.NewLimiter(1, 1)
	return func(err error) {
		if lines.Allow() {
			g.log.Warn().Str("step", "accept").Str("addr", addr).Err(err).Msg("no connection accepted, trying again")
		}
	}
}
