package link

import (
	"bytes"
	"context"
	"io"
	"net"
	"reflect"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/pool"
)

// firstTag is the CBOR tag of the first message in kinds; each further message has the
// next number. A number never changes its meaning.
const firstTag = 40100

// kinds lists the messages in the order of their tags.
var kinds = []Message{
	Offer{},
	Queued{},
	Granted{},
	Declined{},
	Proceed{},
	Answered{},
	Failed{},
	Borrow{},
	Lent{},
	Pull{},
	Pulled{},
	Fetch{},
	Fetched{},
	LongProceed{},
	LongAnswered{},
	Part{},
}

// A peer that fails without a reset must be detected fast, so idle connections are probed
// often and sent bytes must be acknowledged soon.
const (
	probeIdle     = 500 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
	// sendTimeout bounds the write of one message to a peer that does not read.
	sendTimeout = 2 * time.Second
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection fails.
	unackedTimeout = 1500 * time.Millisecond
	// dialTimeout is many times the round trip within a region.
	dialTimeout = 300 * time.Millisecond
)

const (
	// maxRead is how many bytes a decoder reads before it is replaced.
	maxRead = 256 << 10
	// maxBuffer is the size up to which buffers for sent messages are used again.
	maxBuffer = 128 << 10
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT.
const tcpUserTimeout = 18

var encoding, decoding = newModes()

func newModes() (cbor.UserBufferEncMode, cbor.DecMode) {
	tags := cbor.NewTagSet()
	for i, m := range kinds {
		options := cbor.TagOptions{EncTag: cbor.EncTagRequired, DecTag: cbor.DecTagRequired}
		if err := tags.Add(options, reflect.TypeOf(m), firstTag+uint64(i)); err != nil {
			panic(err)
		}
	}
	enc, err := cbor.EncOptions{}.UserBufferEncModeWithTags(tags)
	if err != nil {
		panic(err)
	}
	// Paths and header values may hold any bytes.
	dec, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecModeWithTags(tags)
	if err != nil {
		panic(err)
	}
	return enc, dec
}

// Conn sends and receives messages over one TCP connection. One goroutine may send while
// another one receives.
type Conn struct {
	net net.Conn
	// source is what dec reads from: what an earlier decoder read ahead, and then net.
	source io.Reader
	dec    *cbor.Decoder
}

// NewConn returns a Conn on an open connection, which it owns from then on.
func NewConn(c net.Conn) *Conn { return &Conn{net: c, source: c, dec: decoding.NewDecoder(c)} }

// Dial connects to the daemon at the address.
func Dial(ctx context.Context, to ids.Address) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: control, KeepAliveConfig: keepAlive()}
	c, err := dialer.DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, errorx.Decorate(err, "connect to daemon at %s", to)
	}
	return NewConn(c), nil
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// control sets TCP_USER_TIMEOUT on a socket. On a system without the option, dead peers are
// detected by the keep-alive probes alone.
func control(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout/time.Millisecond))
	})
}

// buffers holds buffers for messages that are sent.
var buffers = pool.Pool[*bytes.Buffer]{Limit: 16}

// keep makes a buffer available for the next message, unless it has grown large.
func keep(b *bytes.Buffer) {
	if b.Cap() <= maxBuffer {
		b.Reset()
		buffers.Put(b)
	}
}

// Send writes one message and blocks for at most sendTimeout.
func (c *Conn) Send(m Message) error {
	b, ok := buffers.Get()
	if !ok {
		b = &bytes.Buffer{}
	}
	defer keep(b)
	if err := encoding.MarshalToBuffer(m, b); err != nil {
		return errorx.Decorate(err, "encode %T", m)
	}
	if err := c.net.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return errorx.Decorate(err, "send %T", m)
	}
	if _, err := c.net.Write(b.Bytes()); err != nil {
		return errorx.Decorate(err, "send %T", m)
	}
	return nil
}

// Receive reads one message and blocks until it has arrived.
func (c *Conn) Receive() (Message, error) {
	var v any
	if err := c.dec.Decode(&v); err != nil {
		return nil, errorx.Decorate(err, "receive message")
	}
	m, ok := v.(Message)
	if !ok {
		return nil, errorx.IllegalFormat.New("received a %T, want a message", v)
	}
	if part, ok := m.(Part); (!ok || part.Last) && c.dec.NumBytesRead() > maxRead {
		return m, c.renewDecoder()
	}
	return m, nil
}

// renewDecoder replaces the decoder, whose buffer holds its longest message as long as it lives.
func (c *Conn) renewDecoder() error {
	ahead, err := io.ReadAll(c.dec.Buffered())
	if err != nil {
		return errorx.Decorate(err, "receive message")
	}
	c.source = io.MultiReader(bytes.NewReader(ahead), c.source)
	c.dec = decoding.NewDecoder(c.source)
	return nil
}

// Close closes the connection.
func (c *Conn) Close() error { return c.net.Close() }
