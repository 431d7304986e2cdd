// Package standin simulates the external systems: the platform's object store and the
// target servers, with fault injection. Demos, experiments and tests use it in place of
// the real systems; it is not part of the production data path.
package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"hemlockquay/internal/platform"
	"hemlockquay/internal/platform/memstore"
	"hemlockquay/internal/platform/objectapi"
)

// bookmarkInterval is the interval at which a watch sends bookmarks, which show the
// client that an idle watch is still alive.
const bookmarkInterval = time.Second

// StoreFaults are the faults injected into the store.
type StoreFaults struct {
	// Down closes the connection of every call without a response, and ends watches.
	Down bool `json:"down"`
	// SlowMS is the delay of every call in milliseconds.
	SlowMS int `json:"slowMs"`
	// LoseAnswers is the number of next writes that take effect but get no response.
	LoseAnswers int `json:"loseAnswers"`
	// SilentWatch keeps watches open without sending events or bookmarks.
	SilentWatch bool `json:"silentWatch"`
	// LoseRequests is the number of next writes that are dropped before they take effect.
	LoseRequests int `json:"loseRequests"`
}

// Store serves a memstore over the protocol of package objectapi.
type Store struct {
	mem *memstore.Store

	mu       sync.Mutex
	faults   StoreFaults
	wentDown chan struct{}
	calls    uint64
}

// NewStore returns a store without objects.
func NewStore() *Store { return &Store{mem: memstore.New(), wentDown: make(chan struct{})} }

// Backend returns the object store behind the protocol.
func (s *Store) Backend() *memstore.Store { return s.mem }

// SetFaults replaces the faults of the store. StoreFaults.Down ends the open watches.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Down {
		close(s.wentDown)
		s.wentDown = make(chan struct{})
	}
}

// Faults returns the current faults.
func (s *Store) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the number of calls since the start.
func (s *Store) Calls() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Handler returns the HTTP interface of the store.
func (s *Store) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.Use(s.injectFaults)
	e.GET(objectapi.ObjectsPath, s.listOrWatch)
	e.POST(objectapi.ObjectsPath, s.put)
	e.GET(objectapi.ObjectsPath+"/:name", s.get)
	e.PUT(objectapi.ObjectsPath+"/:name", s.put)
	e.DELETE(objectapi.ObjectsPath+"/:name", s.delete)
	e.GET(objectapi.VMsPath, s.vms)
	return e
}

// injectFaults applies the current faults to a call.
func (s *Store) injectFaults(c *gin.Context) {
	s.mu.Lock()
	s.calls++
	f := s.faults
	write := c.Request.Method != http.MethodGet
	loseRequest := write && f.LoseRequests > 0
	loseAnswer := write && !loseRequest && f.LoseAnswers > 0
	if loseRequest {
		s.faults.LoseRequests--
	}
	if loseAnswer {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	if f.Down || loseRequest {
		closeConnection(c)
		return
	}
	if loseAnswer {
		writer := &discardingWriter{ResponseWriter: c.Writer}
		c.Writer = writer
		c.Next()
		c.Writer = writer.ResponseWriter
		closeConnection(c)
		return
	}
	c.Next()
}

// discardingWriter lets a handler run without sending its response.
type discardingWriter struct{ gin.ResponseWriter }

func (d *discardingWriter) Write(b []byte) (int, error)       { return len(b), nil }
func (d *discardingWriter) WriteString(t string) (int, error) { return len(t), nil }
func (d *discardingWriter) WriteHeader(int)                   {}
func (d *discardingWriter) WriteHeaderNow()                   {}

// closeConnection closes the connection of a call without a response.
func closeConnection(c *gin.Context) {
	c.Abort()
	conn, _, err := c.Writer.Hijack()
	if err == nil {
		conn.Close()
	}
}

func (s *Store) listOrWatch(c *gin.Context) {
	if c.Query("watch") != "" {
		s.watch(c)
		return
	}
	l, _ := s.mem.List(c)
	list := objectapi.List{APIVersion: objectapi.APIVersion, Kind: objectapi.ItemKind + "List"}
	list.Metadata.ResourceVersion = objectapi.FormatVersion(l.Revision)
	list.Items = make([]objectapi.Item, 0, len(l.Objects))
	for _, o := range l.Objects {
		list.Items = append(list.Items, objectapi.ToItem(o))
	}
	c.JSON(http.StatusOK, list)
}

func (s *Store) get(c *gin.Context) {
	id, err := objectapi.ParseItemName(c.Param("name"))
	if err != nil {
		c.JSON(http.StatusNotFound, gin.H{"message": err.Error()})
		return
	}
	o, err := s.mem.Get(c, id)
	s.respond(c, o, err)
}

func (s *Store) put(c *gin.Context) {
	var item objectapi.Item
	if err := json.NewDecoder(c.Request.Body).Decode(&item); err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"message": err.Error()})
		return
	}
	o, err := objectapi.FromItem(item)
	if err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"message": err.Error()})
		return
	}
	o, err = s.mem.Put(c, o)
	s.respond(c, o, err)
}

func (s *Store) delete(c *gin.Context) {
	id, err := objectapi.ParseItemName(c.Param("name"))
	if err != nil {
		c.JSON(http.StatusNotFound, gin.H{"message": err.Error()})
		return
	}
	version, err := objectapi.ParseVersion(c.Query("resourceVersion"))
	if err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"message": err.Error()})
		return
	}
	o := platform.Object{Kind: id.Kind, Name: id.Name, Version: version}
	s.respond(c, o, s.mem.Delete(c, o))
}

func (s *Store) respond(c *gin.Context, o platform.Object, err error) {
	switch {
	case err == nil:
		c.JSON(http.StatusOK, objectapi.ToItem(o))
	case errors.Is(err, platform.ErrNotFound):
		c.JSON(http.StatusNotFound, gin.H{"message": err.Error()})
	case errors.Is(err, platform.ErrConflict):
		c.JSON(http.StatusConflict, gin.H{"message": err.Error()})
	default:
		c.JSON(http.StatusInternalServerError, gin.H{"message": err.Error()})
	}
}

func (s *Store) vms(c *gin.Context) {
	vms, _ := s.mem.VMs(c)
	c.JSON(http.StatusOK, objectapi.VMList{Items: vms})
}

func (s *Store) watch(c *gin.Context) {
	from, err := objectapi.ParseVersion(c.Query("resourceVersion"))
	if err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"message": err.Error()})
		return
	}
	if err := s.mem.CheckRevision(from); err != nil {
		c.JSON(http.StatusGone, gin.H{"message": err.Error()})
		return
	}
	s.streamEvents(c, from)
}
