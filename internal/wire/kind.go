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
	kindPermit    kind = "permit"
	kindPermitted kind = "permitted"
	kindRelease   kind = "release"
	kindReleased  kind = "released"
	kindCompare   kind = "compare"
	kindSummary   kind = "summary"
	kindAnnounce  kind = "announce"
	kindNoted     kind = "noted"
	kindProbe     kind = "probe"
	kindProbed    kind = "probed"
	kindPiece     kind = "piece"
	kindFetch     kind = "fetch"
	kindRecords   kind = "records"
	kindPull      kind = "pull"
)

func kindOf(m message.Message) (kind, error) {
	switch m.(type) {
	case message.Request:
		return kindRequest, nil
	case message.Reply:
		return kindReply, nil
	case message.Refusal:
		return kindRefusal, nil
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
	case message.Announce:
		return kindAnnounce, nil
	case message.Noted:
		return kindNoted, nil
	case message.Probe:
		return kindProbe, nil
	case message.Probed:
		return kindProbed, nil
	case message.Piece:
		return kindPiece, nil
	case message.Fetch:
		return kindFetch, nil
	case message.Records:
		return kindRecords, nil
	case message.Pull:
		return kindPull, nil
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
	case kindAnnounce:
		return decodeAs[message.Announce](body)
	case kindNoted:
		return decodeAs[message.Noted](body)
	case kindProbe:
		return decodeAs[message.Probe](body)
	case kindProbed:
		return decodeAs[message.Probed](body)
	case kindPiece:
		return decodeAs[message.Piece](body)
	case kindFetch:
		return decodeAs[message.Fetch](body)
	case kindRecords:
		return decodeAs[message.Records](body)
	case kindPull:
		return decodeAs[message.Pull](body)
	default:
		return nil, errorx.IllegalFormat.New("message has the unknown kind %q", k)
	}
}
