package entry

import (
	"net"
	"runtime/debug"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/budget"
	"hemlockquay/internal/pipeline"
	"hemlockquay/internal/stall"
)

const (
	// processMB is the memory in MB of a process without requests.
	processMB = 32
	// requestMemoryFactor is the fraction of the memory beside that for requests with their connections and bodies. The rest is
	// for answers, the growth of the heap between collections and bytes that the system has received.
	requestMemoryFactor = 0.6
	// connectionMemoryShare and bodyMemoryShare are the fractions of all memory that connections with the requests that run,
	// and bodies, may take of it.
	connectionMemoryShare, bodyMemoryShare = 0.4, 0.5
	// heapLimitShare is the fraction of the memory from which the heap is collected more often.
	heapLimitShare = 0.65
	// descriptorShare is the fraction of the descriptors for callers' connections.
	descriptorShare = 0.75
	// requestMemory is the memory in bytes of a request that runs, without its body and its answer.
	requestMemory = 72 << 10
	// receiveBuffer is what the system receives on a connection before it is read, in bytes.
	receiveBuffer = 64 << 10
	// writeTimeout bounds how long a caller may take to read 16 KiB of an answer.
	writeTimeout = 10 * time.Second
)

// memoryShare returns a fraction of the process's memory in bytes.
func (s *Settings) memoryShare(fraction float64) int64 {
	return int64(s.MemoryMB * fraction * (1 << 20))
}

// newMemory returns the bound of the memory of all requests, and limits the heap of the process.
func (s *Settings) newMemory(registry metrics.Registry) *budget.Budget {
	debug.SetMemoryLimit(s.memoryShare(heapLimitShare))
	return budget.New("memory", int64((s.MemoryMB-processMB)*requestMemoryFactor*(1<<20)), registry)
}

// newCallerListener returns the connections of callers that l accepts.
func (s *Settings) newCallerListener(l net.Listener, memory *budget.Budget, stalls *stall.Meter, registry metrics.Registry) *pipeline.Listener {
	return pipeline.NewListener(l, pipeline.Limits{
		Requests: 1, HeaderBytes: s.MaxHeader, HeaderTimeout: s.ReadTimeout.D(), WriteTimeout: writeTimeout,
		IdleTimeout:   func() time.Duration { return idleTimeout },
		ReceiveBuffer: receiveBuffer, Connections: int(float64(budget.Descriptors(s.Descriptors)) * descriptorShare),
		Stalls: stalls, Memory: s.memoryShare(connectionMemoryShare), MemoryShare: memory.Share(s.memoryShare(connectionMemoryShare)), RequestMemory: requestMemory,
	}, registry)
}
