package wire

import (
	"bytes"
	"io"
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/message"
)

// samples returns some messages with content and an empty one of every type.
func samples() []message.Message {
	head := call.Head{Method: "POST", Target: "/a%2Fb?x=1", Header: map[string][]string{"A": {"1", "2"}}, Length: call.UnknownLength, Remaining: time.Second}
	list := []message.Message{
		message.Request{Head: head},
		message.Refusal{Verdict: "unrun", Status: 503, Reason: "full", RetryAfter: time.Second},
		message.Announce{Members: []member.Member{{Daemon: "vm1", Incarnation: 7, Targets: []member.Target{{ID: "t", Slots: 3}}}}},
	}
	for _, c := range codecs {
		list = append(list, reflect.New(c.goType).Elem().Interface().(message.Message))
	}
	return list
}

// Read returns the message that Write was given, and leaves the bytes after it unread.
func TestRoundTrip(t *testing.T) {
	for _, m := range samples() {
		t.Run(reflect.TypeOf(m).Name(), func(t *testing.T) {
			var b bytes.Buffer
			must.NoError(t, Write(&b, m))
			b.WriteString("body")
			got, err := Read(&b)
			must.NoError(t, err)
			must.Eq(t, m, got)
			must.EqOp(t, "body", b.String())
		})
	}
}

func TestBadFrames(t *testing.T) {
	frame, err := Encode(message.Probe{Daemon: "vm1"})
	must.NoError(t, err)
	cases := []struct {
		name string
		data []byte
	}{
		{"nothing", nil},
		{"half a length", frame[:2]},
		{"half a message", frame[:len(frame)-1]},
		{"a length over the limit", []byte{0xff, 0xff, 0xff, 0xff}},
		{"no CBOR", []byte{0, 0, 0, 1, 0xff}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Read(bytes.NewReader(c.data))
			must.Error(t, err)
		})
	}
}

// No input makes the decoder panic, and a message that was decoded can be encoded again.
func FuzzRead(f *testing.F) {
	for _, m := range samples() {
		data, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Read(io.LimitReader(bytes.NewReader(data), maxFrame))
		if err != nil {
			return
		}
		if _, err := Encode(m); err != nil {
			t.Fatalf("%T was read but can't be sent: %v", m, err)
		}
	})
}
