package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"hemlockquay/internal/journal"
	"hemlockquay/internal/pipeline"
	"hemlockquay/internal/settings"
)

// Limits of the admin server.
const (
	// headerTimeout bounds how long a client may take to send the request headers.
	headerTimeout = 5 * time.Second
	// writeTimeout bounds how long a client may take to read 16 KiB of a response.
	writeTimeout = 10 * time.Second
	// idleTimeout is how long a connection is kept without a request.
	idleTimeout = 3 * time.Minute
	// maxHeaderBytes is the largest head of a request.
	maxHeaderBytes = 16 << 10
	// requestMemory is the memory in bytes of a request with its response, and maxMemory that of all of them.
	requestMemory, maxMemory = 512 << 10, 8 << 20
	// receiveBuffer is what the system receives on a connection before it is read, in bytes.
	receiveBuffer = 16 << 10
)

// CheckAddr returns an error if the address is not IP:PORT.
func CheckAddr(pointer, addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		return settings.Invalid(pointer, "%q is not IP:PORT", addr)
	}
	return nil
}

type adminParams struct {
	fx.In

	LC        fx.Lifecycle
	Base      *Base
	Lifecycle *Lifecycle
	Log       *log.Logger
	Registry  metrics.Registry
	Journal   *journal.Journal
}

// startAdmin starts the admin server, which serves /healthz, /readyz, /metrics,
// /metrics.txt, /dump, /journal, /debug/pprof and /drain.
func startAdmin(p adminParams) error {
	listener, err := net.Listen("tcp", p.Base.Admin)
	if err != nil {
		return fmt.Errorf("start admin server: %w", err)
	}
	p.Lifecycle.AddDumpSection(ringsSection, func() any { return ringStates(p.Registry) })
	p.Lifecycle.admin = listener.Addr().String()
	server := &http.Server{Handler: adminHandler(p), ReadHeaderTimeout: headerTimeout}
	pipeline.Attach(server)
	bounded := pipeline.NewListener(listener, pipeline.Limits{
		Name: "admin", Requests: 1, HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, WriteTimeout: writeTimeout,
		IdleTimeout:   func() time.Duration { return idleTimeout },
		ReceiveBuffer: receiveBuffer, Connections: p.Base.AdminConnections, Memory: maxMemory, RequestMemory: requestMemory,
	}, p.Registry)
	p.LC.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() { _ = server.Serve(bounded) }()
			return nil
		},
		OnStop: server.Shutdown,
	})
	return nil
}

// writeJSON responds with v as JSON, on one line, or indented if the query has the
// parameter "pretty".
func writeJSON(c *gin.Context, v any) {
	if _, pretty := c.GetQuery("pretty"); pretty {
		c.IndentedJSON(http.StatusOK, v)
		return
	}
	c.JSON(http.StatusOK, v)
}

func adminHandler(p adminParams) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "alive\n") })
	e.GET("/readyz", func(c *gin.Context) {
		if ready, why := p.Lifecycle.IsReady(); !ready {
			c.String(http.StatusServiceUnavailable, "not ready: %s\n", why)
			return
		}
		c.String(http.StatusOK, "ready\n")
	})
	e.GET("/metrics", func(c *gin.Context) { writeJSON(c, metricValues(p.Registry)) })
	e.GET("/metrics.txt", func(c *gin.Context) { c.String(http.StatusOK, "%s", metricsText(p.Registry)) })
	e.GET("/dump", func(c *gin.Context) { writeJSON(c, p.Lifecycle.Dump()) })
	e.GET("/journal", func(c *gin.Context) { writeJSON(c, p.Journal.Entries()) })
	e.GET("/debug/pprof/profile", gin.WrapF(pprof.Profile))
	e.GET("/debug/pprof/heap", gin.WrapH(pprof.Handler("heap")))
	e.GET("/debug/pprof/goroutine", gin.WrapH(pprof.Handler("goroutine")))
	e.POST("/drain", func(c *gin.Context) {
		c.String(http.StatusAccepted, "draining\n")
		p.Lifecycle.Drain()
	})
	return e
}
