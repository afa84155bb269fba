package wire

import (
	"reflect"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/message"
)

// kind names a message on the wire.
type kind string

// codec is the kind of one message type and the function that decodes it.
type codec struct {
	kind   kind
	goType reflect.Type
	decode func(body []byte) (message.Message, error)
}

func codecOf[T message.Message](k kind) codec {
	return codec{kind: k, goType: reflect.TypeFor[T](), decode: decodeBody[T]}
}

// codecs lists every message type. A kind never changes, even if its Go type is renamed,
// because daemons of two versions exchange messages during a roll-out.
var codecs = []codec{
	codecOf[message.Request]("request"),
	codecOf[message.Reply]("reply"),
	codecOf[message.Trailer]("trailer"),
	codecOf[message.Refusal]("refusal"),
	codecOf[message.Announce]("announce"),
	codecOf[message.AnnounceReply]("noted"),
	codecOf[message.Probe]("probe"),
	codecOf[message.Probed]("probed"),
	codecOf[message.TallyQuery]("count"),
	codecOf[message.TallyReply]("counted"),
	codecOf[message.Pull]("pull"),
	codecOf[message.Records]("records"),
	codecOf[message.Fetch]("fetch"),
	codecOf[message.SnapshotPart]("piece"),
	codecOf[message.LeaseQuery]("ask"),
	codecOf[message.LeaseStatus]("confirm"),
	codecOf[message.Borrow]("borrow"),
	codecOf[message.Lent]("lent"),
	codecOf[message.Handover]("handover"),
	codecOf[message.HandedOver]("handedover"),
	codecOf[message.GuardBegin]("guardbegin"),
	codecOf[message.GuardBegan]("guardbegan"),
	codecOf[message.GuardLookup]("guardlook"),
	codecOf[message.GuardLookupReply]("guardlooked"),
	codecOf[message.GuardCopy]("guardcopy"),
	codecOf[message.GuardCopied]("guardcopied"),
	codecOf[message.GuardEnd]("guardend"),
	codecOf[message.GuardEnded]("guardended"),
	codecOf[message.Permit]("permit"),
	codecOf[message.Permitted]("permitted"),
	codecOf[message.Release]("release"),
	codecOf[message.Released]("released"),
	codecOf[message.Compare]("compare"),
	codecOf[message.Summary]("summary"),
}

var (
	byKind = index(func(c codec) kind { return c.kind })
	byType = index(func(c codec) reflect.Type { return c.goType })
)

// index maps a key of each codec to the codec. It panics on a duplicate key, which is a
// programming error that every test run reveals.
func index[K comparable](key func(codec) K) map[K]codec {
	m := map[K]codec{}
	for _, c := range codecs {
		if _, ok := m[key(c)]; ok {
			panic("two messages share a kind or a Go type: " + string(c.kind))
		}
		m[key(c)] = c
	}
	return m
}

func kindOf(m message.Message) (kind, error) {
	c, ok := byType[reflect.TypeOf(m)]
	if !ok {
		return "", errorx.IllegalArgument.New("no encoding for message %T", m)
	}
	return c.kind, nil
}

func decodeKind(k kind, body []byte) (message.Message, error) {
	c, ok := byKind[k]
	if !ok {
		return nil, errorx.IllegalFormat.New("message has the unknown kind %q", k)
	}
	return c.decode(body)
}
