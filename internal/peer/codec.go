package peer

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/rpc"

	"github.com/vmihailenco/msgpack/v5"

	"hemlockquay/internal/caller"
	"hemlockquay/internal/socket"
	"hemlockquay/internal/wire"
)

// bufferSize is large enough for a typical request or answer to be sent in one write.
const bufferSize = 16 << 10

// codec encodes net/rpc messages as MessagePack. Structs are encoded as maps by
// field name: an unknown field is skipped and a missing one is zero, so VMs of
// two versions can call each other during an upgrade. Arrays would be shorter,
// but the library rejects an array of another length.
//
// Each message is read whole before it is decoded.
type codec struct {
	conn    net.Conn
	sent    *countingWriter
	out     *bufio.Writer
	enc     *msgpack.Encoder
	dec     *msgpack.Decoder
	meter   *meter
	scanner scanner
	message bytes.Reader
}

func newCodec(conn net.Conn, m *meter) *codec {
	sent := &countingWriter{Writer: conn}
	out := bufio.NewWriterSize(sent, bufferSize)
	enc := msgpack.NewEncoder(out)
	enc.UseCompactInts(true)
	return &codec{conn: conn, sent: sent, out: out, enc: enc, dec: msgpack.NewDecoder(nil), meter: m, scanner: scanner{in: bufio.NewReaderSize(m, bufferSize)}}
}

// write sends a message. One message is written at a time.
func (c *codec) write(method string, header, body any) error {
	before := c.sent.n
	defer func() { countSent(method, c.sent.n-before) }()
	if err := c.enc.Encode(header); err != nil {
		return c.closeAfterWriteError(err)
	}
	c.enc.SetOmitEmpty(!mostlySet(body))
	defer c.enc.SetOmitEmpty(false)
	if err := c.enc.Encode(body); err != nil {
		return c.closeAfterWriteError(err)
	}
	if err := c.out.Flush(); err != nil {
		return c.closeAfterWriteError(err)
	}
	return nil
}

// mostlySet reports whether most fields of a message are set, so that empty ones are not omitted.
// To omit them, the library allocates twice for each field that is not empty, which made up half
// of all allocations of a request's call. Control messages are few and mostly empty; for them
// the size matters more.
func mostlySet(body any) bool {
	switch body.(type) {
	case *wire.Request, *wire.Answer:
		return true
	}
	return false
}

// closeAfterWriteError closes the connection, since a part of the message may have been
// written: the peer would read the next message as the rest of it.
func (c *codec) closeAfterWriteError(err error) error {
	c.conn.Close()
	return fmt.Errorf("encode message: %w", err)
}

// readMessage decodes the next message, of limit bytes at the most, or ignores it if v is nil. It closes the connection if that
// fails: net/rpc would continue and read the rest of its bytes as the next message, possibly as another caller's answer.
func (c *codec) readMessage(v any, limit int) error {
	text, err := c.scanner.next(limit)
	if err == nil && v != nil {
		c.message.Reset(text)
		c.dec.ResetReader(&c.message)
		err = c.dec.Decode(v)
	}
	if err != nil {
		c.conn.Close()
	}
	return err
}

func (c *codec) Close() error { return c.conn.Close() }

type clientCodec struct{ *codec }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(r.ServiceMethod, r, body)
}

// ReadResponseHeader implements rpc.ClientCodec. The header has the text of an error, which may be longer than the name of a
// method.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	c.meter.begin()
	return c.endAfter(c.readMessage(r, maxErrorHeader))
}

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(body any) error {
	return c.endAfter(c.readMessage(body, maxMessage))
}

// endAfter returns the memory of a message that was not read whole: no other one follows on its connection.
func (c clientCodec) endAfter(err error) error {
	if err != nil {
		c.meter.release()
	}
	return err
}

// serverCodec also knows the server, and where requests come from.
type serverCodec struct {
	*codec
	server *Server
}

func newServerCodec(conn net.Conn, s *Server, m *meter) *serverCodec {
	return &serverCodec{codec: newCodec(conn, m), server: s}
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.meter.begin()
	return c.readMessage(r, maxHeader)
}

func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.readMessage(body, maxMessage)
	if r, ok := body.(caller.Receiver); ok && err == nil {
		r.SetOrigin(connection{c.conn}, c.server.Stalls.Recent())
	}
	if err == nil && !c.meter.whole {
		c.meter.whole = true
		c.server.prove(c.conn)
	}
	return err
}

// connection implements caller.Connection.
type connection struct{ net.Conn }

// Left implements caller.Connection.
func (c connection) Left() bool { return socket.HungUp(c.Conn) }

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	return c.write(r.ServiceMethod+replySuffix, r, body)
}
