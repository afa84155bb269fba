package wire

import (
	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/message"
)

// kind names a message on the wire.
type kind string

const (
	kindRequest  kind = "request"
	kindReply    kind = "reply"
	kindTrailer  kind = "trailer"
	kindRefusal  kind = "refusal"
	kindAnnounce kind = "announce"
	kindNoted    kind = "noted"
)

func kindOf(m message.Message) (kind, error) {
	switch m.(type) {
	case message.Request:
		return kindRequest, nil
	case message.Reply:
		return kindReply, nil
	case message.Trailer:
		return kindTrailer, nil
	case message.Refusal:
		return kindRefusal, nil
	case message.Announce:
		return kindAnnounce, nil
	case message.Noted:
		return kindNoted, nil
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
	case kindTrailer:
		return decodeAs[message.Trailer](body)
	case kindRefusal:
		return decodeAs[message.Refusal](body)
	case kindAnnounce:
		return decodeAs[message.Announce](body)
	case kindNoted:
		return decodeAs[message.Noted](body)
	default:
		return nil, errorx.IllegalFormat.New("message has the unknown kind %q", k)
	}
}
