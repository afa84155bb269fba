package wire

import (
	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/message"
)

// kind names a message on the wire.
type kind string

const (
	kindRequest   kind = "request"
	kindReply     kind = "reply"
	kindRefusal   kind = "refusal"
	kindAnnounce  kind = "announce"
	kindNoted     kind = "noted"
	kindPermit    kind = "permit"
	kindPermitted kind = "permitted"
	kindRelease   kind = "release"
	kindReleased  kind = "released"
	kindCompare   kind = "compare"
	kindSummary   kind = "summary"
)

func kindOf(m message.Message) (kind, error) {
	switch m.(type) {
	case message.Request:
		return kindRequest, nil
	case message.Reply:
		return kindReply, nil
	case message.Refusal:
		return kindRefusal, nil
	case message.Announce:
		return kindAnnounce, nil
	case message.Noted:
		return kindNoted, nil
	case message.Permit:
		return kindPermit, nil
	case message.Permitted:
		return kindPermitted, nil
	case message.Release:
		return kindRelease, nil
	case message.Released:
		return kindReleased, nil
	case message.Compare:
		return kindCompare, nil
	case message.Summary:
		return kindSummary, nil
	default:
		return "", errorx.IllegalArgument.New("no encoding for message %T", m)
	}
}

func decodeKind(k kind, body []byte) (message.Message, error) {
	switch k {
	case kindRequest:
		return decodeAs[message.Request](body)
	case kindReply:
		return decodeAs[message.Reply](body)
	case kindRefusal:
		return decodeAs[message.Refusal](body)
	case kindAnnounce:
		return decodeAs[message.Announce](body)
	case kindNoted:
		return decodeAs[message.Noted](body)
	case kindPermit:
		return decodeAs[message.Permit](body)
	case kindPermitted:
		return decodeAs[message.Permitted](body)
	case kindRelease:
		return decodeAs[message.Release](body)
	case kindReleased:
		return decodeAs[message.Released](body)
	case kindCompare:
		return decodeAs[message.Compare](body)
	case kindSummary:
		return decodeAs[message.Summary](body)
	default:
		return nil, errorx.IllegalFormat.New("message has the unknown kind %q", k)
	}
}
