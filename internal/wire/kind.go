package wire

import (
	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/message"
)

// kind names a message on the wire.
type kind string

const (
	kindRequest     kind = "request"
	kindReply       kind = "reply"
	kindRefusal     kind = "refusal"
	kindAnnounce    kind = "announce"
	kindNoted       kind = "noted"
	kindProbe       kind = "probe"
	kindProbed      kind = "probed"
	kindPiece       kind = "piece"
	kindFetch       kind = "fetch"
	kindRecords     kind = "records"
	kindPull        kind = "pull"
	kindAsk         kind = "ask"
	kindConfirm     kind = "confirm"
	kindBorrow      kind = "borrow"
	kindLent        kind = "lent"
	kindGuardBegin  kind = "guardbegin"
	kindGuardBegan  kind = "guardbegan"
	kindGuardLook   kind = "guardlook"
	kindGuardLooked kind = "guardlooked"
	kindGuardCopy   kind = "guardcopy"
	kindGuardCopied kind = "guardcopied"
	kindGuardEnd    kind = "guardend"
	kindGuardEnded  kind = "guardended"
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
	case message.Borrow:
		return kindBorrow, nil
	case message.Lent:
		return kindLent, nil
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
	case message.Question:
		return kindAsk, nil
	case message.Confirmation:
		return kindConfirm, nil
	case message.GuardBegin:
		return kindGuardBegin, nil
	case message.GuardBegan:
		return kindGuardBegan, nil
	case message.GuardLook:
		return kindGuardLook, nil
	case message.GuardLooked:
		return kindGuardLooked, nil
	case message.GuardCopy:
		return kindGuardCopy, nil
	case message.GuardCopied:
		return kindGuardCopied, nil
	case message.GuardEnd:
		return kindGuardEnd, nil
	case message.GuardEnded:
		return kindGuardEnded, nil
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
	case kindBorrow:
		return decodeAs[message.Borrow](body)
	case kindLent:
		return decodeAs[message.Lent](body)
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
	case kindAsk:
		return decodeAs[message.Question](body)
	case kindConfirm:
		return decodeAs[message.Confirmation](body)
	case kindGuardBegin:
		return decodeAs[message.GuardBegin](body)
	case kindGuardBegan:
		return decodeAs[message.GuardBegan](body)
	case kindGuardLook:
		return decodeAs[message.GuardLook](body)
	case kindGuardLooked:
		return decodeAs[message.GuardLooked](body)
	case kindGuardCopy:
		return decodeAs[message.GuardCopy](body)
	case kindGuardCopied:
		return decodeAs[message.GuardCopied](body)
	case kindGuardEnd:
		return decodeAs[message.GuardEnd](body)
	case kindGuardEnded:
		return decodeAs[message.GuardEnded](body)
	default:
		return nil, errorx.IllegalFormat.New("message has the unknown kind %q", k)
	}
}
