package wire

import (
	"reflect"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/message"
)

// kind names a message on the wire.
type kind string

// form is one message's name and how to decode it.
type form struct {
	kind   kind
	goType reflect.Type
	decode func(body []byte) (message.Message, error)
}

func formOf[T message.Message](k kind) form {
	return form{kind: k, goType: reflect.TypeFor[T](), decode: decodeAs[T]}
}

// forms lists every message. Names never change, because daemons of two versions
// speak to each other during a roll-out.
var forms = []form{
	formOf[message.Request]("request"),
	formOf[message.Reply]("reply"),
	formOf[message.Trailer]("trailer"),
	formOf[message.Refusal]("refusal"),
	formOf[message.Announce]("announce"),
	formOf[message.AnnounceReply]("noted"),
	formOf[message.Probe]("probe"),
	formOf[message.Probed]("probed"),
	formOf[message.TallyQuery]("count"),
	formOf[message.TallyReply]("counted"),
	formOf[message.Pull]("pull"),
	formOf[message.Records]("records"),
	formOf[message.Fetch]("fetch"),
	formOf[message.SnapshotPart]("piece"),
	formOf[message.LeaseQuery]("ask"),
	formOf[message.LeaseStatus]("confirm"),
	formOf[message.Borrow]("borrow"),
	formOf[message.Lent]("lent"),
	formOf[message.Handover]("handover"),
	formOf[message.HandedOver]("handedover"),
	formOf[message.GuardBegin]("guardbegin"),
	formOf[message.GuardBegan]("guardbegan"),
	formOf[message.GuardLookup]("guardlook"),
	formOf[message.GuardLookupReply]("guardlooked"),
	formOf[message.GuardCopy]("guardcopy"),
	formOf[message.GuardCopied]("guardcopied"),
	formOf[message.GuardEnd]("guardend"),
	formOf[message.GuardEnded]("guardended"),
	formOf[message.Permit]("permit"),
	formOf[message.Permitted]("permitted"),
	formOf[message.Release]("release"),
	formOf[message.Released]("released"),
	formOf[message.Compare]("compare"),
	formOf[message.Summary]("summary"),
}

var (
	byKind = index(func(f form) kind { return f.kind })
	byType = index(func(f form) reflect.Type { return f.goType })
)

// index finds forms by a key. A key used twice is a programming error that every
// test run shows.
func index[K comparable](key func(form) K) map[K]form {
	m := map[K]form{}
	for _, f := range forms {
		if _, ok := m[key(f)]; ok {
			panic("two messages share a form: " + string(f.kind))
		}
		m[key(f)] = f
	}
	return m
}

func kindOf(m message.Message) (kind, error) {
	f, ok := byType[reflect.TypeOf(m)]
	if !ok {
		return "", errorx.IllegalArgument.New("no encoding for message %T", m)
	}
	return f.kind, nil
}

func decodeKind(k kind, body []byte) (message.Message, error) {
	f, ok := byKind[k]
	if !ok {
		return nil, errorx.IllegalFormat.New("message has the unknown kind %q", k)
	}
	return f.decode(body)
}
