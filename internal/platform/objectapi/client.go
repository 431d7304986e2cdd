package objectapi

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"

	"hemlockquay/internal/answers"
	"hemlockquay/internal/budget"
	"hemlockquay/internal/platform"
)

// maxResponseBytes bounds a response of the store. A configuration of a thousand
// values of a megabyte would be an error.
const maxResponseBytes = 256 << 20

const (
	// maxHeadBytes bounds the headers of a response.
	maxHeadBytes = 64 << 10
	// maxEventBytes bounds an event of a watch. A value has a megabyte at most.
	maxEventBytes = 8 << 20
)

// Client implements platform.Store over HTTP.
type Client struct {
	base      string
	http      *http.Client
	transport *answers.Transport
	// memory is where answers reserve memory while they are read. It may be nil.
	memory *budget.Share
	// onRefused is called with events of a watch that cannot be decoded.
	onRefused func(platform.Refused)
}

var _ platform.Store = (*Client)(nil)

// New returns a client of the API at base, e.g. "http://10.0.0.1:8001". It sets no
// timeouts: each call is bounded by its context.
func New(base string) *Client {
	transport := answers.NewTransport(&http.Transport{MaxIdleConnsPerHost: 8, MaxResponseHeaderBytes: maxHeadBytes})
	return &Client{base: base, http: &http.Client{Transport: transport}, transport: transport, onRefused: func(platform.Refused) {}}
}

// Within bounds the answers that are being read, together with all that has the same share. It is called before the first use.
func (c *Client) Within(memory *budget.Share) { c.memory = memory }

// ReportTo records broken answers in a log. It is called before the first use.
func (c *Client) ReportTo(broken *answers.Log) { c.transport.ReportTo(broken) }

// OnRefused sets a function that is called with each event of a watch that cannot be decoded. It is called before the first use.
func (c *Client) OnRefused(f func(platform.Refused)) { c.onRefused = f }

// Get implements platform.Store.
func (c *Client) Get(ctx context.Context, id platform.ID) (platform.Object, error) {
	var item Item
	if err := c.call(ctx, http.MethodGet, c.itemURL(id), nil, &item); err != nil {
		return platform.Object{}, fmt.Errorf("get %s %s: %w", id.Kind, id.Name, err)
	}
	return FromItem(item)
}

// List implements platform.Store.
func (c *Client) List(ctx context.Context) (platform.Listing, error) {
	var list listing
	if err := c.call(ctx, http.MethodGet, c.base+ObjectsPath, nil, &list); err != nil {
		return platform.Listing{}, fmt.Errorf("list objects: %w", err)
	}
	revision, err := ParseVersion(list.metadata.ResourceVersion)
	if err != nil {
		return platform.Listing{}, err
	}
	l := platform.Listing{Revision: revision, Objects: make([]platform.Object, 0, len(list.items))}
	for _, item := range list.items {
		o, refused := readItem(item)
		if refused != nil {
			l.Refused = append(l.Refused, platform.Refused{Name: o.Name, Reason: refused.Error()})
		}
		if o.Name != "" {
			l.Objects = append(l.Objects, o)
		}
	}
	return l, nil
}

// Put implements platform.Store.
func (c *Client) Put(ctx context.Context, o platform.Object) (platform.Object, error) {
	item := ToItem(o)
	method, target := http.MethodPut, c.itemURL(o.ID())
	if o.Version == 0 {
		method, target = http.MethodPost, c.base+ObjectsPath
		item.Metadata.ResourceVersion = ""
	}
	var written Item
	if err := c.call(ctx, method, target, item, &written); err != nil {
		return platform.Object{}, fmt.Errorf("put %s %s: %w", o.Kind, o.Name, err)
	}
	return FromItem(written)
}

// Delete implements platform.Store.
func (c *Client) Delete(ctx context.Context, o platform.Object) error {
	target := c.itemURL(o.ID()) + "?resourceVersion=" + FormatVersion(o.Version)
	if err := c.call(ctx, http.MethodDelete, target, nil, nil); err != nil {
		return fmt.Errorf("delete %s %s: %w", o.Kind, o.Name, err)
	}
	return nil
}

// VMs implements platform.Store.
func (c *Client) VMs(ctx context.Context) ([]platform.VM, error) {
	var list listing
	if err := c.call(ctx, http.MethodGet, c.base+VMsPath, nil, &list); err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	out := make([]platform.VM, 0, len(list.items))
	for _, item := range list.items {
		vm, err := readVM(item)
		if err != nil {
			c.onRefused(platform.Refused{Name: vm.Name, Reason: err.Error()})
			continue
		}
		out = append(out, vm)
	}
	return out, nil
}

// Watch implements platform.Store.
func (c *Client) Watch(ctx context.Context, from uint64, handle func(platform.Event) error) error {
	target := c.base + ObjectsPath + "?watch=1&allowWatchBookmarks=true&resourceVersion=" + FormatVersion(from)
	resp, err := c.send(ctx, http.MethodGet, target, nil)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	defer resp.Body.Close()
	if err := platform.StatusError(resp.StatusCode); err != nil {
		return fmt.Errorf("watch from %d: %w", from, err)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		event, refused := readEvent(lines.Bytes(), from)
		if errors.Is(refused, platform.ErrGone) {
			return refused
		}
		if refused != nil {
			c.onRefused(platform.Refused{Name: event.Object.Name, Reason: refused.Error()})
		}
		if event.Type != platform.EventBookmark && event.Object.Name == "" {
			continue
		}
		// The line is overwritten by the next one.
		event.Object.Spec = slices.Clone(event.Object.Spec)
		from = event.Revision
		if err := handle(event); err != nil {
			return err
		}
	}
	err = lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("watch: read event: %w", errors.Join(platform.ErrAmbiguous, err))
}

func (c *Client) itemURL(id platform.ID) string {
	return c.base + ObjectsPath + "/" + url.PathEscape(ItemName(id))
}

func (c *Client) call(ctx context.Context, method, target string, in, out any) error {
	resp, err := c.send(ctx, method, target, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := platform.StatusError(resp.StatusCode); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	return platform.DecodeResponse(resp.Body, maxResponseBytes, c.memory, out)
}

func (c *Client) send(ctx context.Context, method, target string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return nil, fmt.Errorf("encode: %w", err)
		}
		body = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, platform.TransportError(err)
	}
	return resp, nil
}
