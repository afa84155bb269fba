package tail

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
)

const (
	// maxHistoryItems bounds the records that are retained for followers.
	maxHistoryItems = 1024
	// maxReplyBytes bounds the records in one reply; the first record is sent even if
	// it is larger.
	maxReplyBytes = 1 << 20
)

// history holds the newest records, so that followers need not read the log.
type history struct {
	first ids.Offset
	items []message.Item
}

// reset drops all records; next is the offset of the next one that is added.
func (h *history) reset(next ids.Offset) { h.first, h.items = next, nil }

func (h *history) add(item message.Item) {
	h.items = append(h.items, item)
	if len(h.items) > maxHistoryItems {
		h.items[0] = message.Item{}
		h.items = h.items[1:]
		h.first++
	}
}

// from returns the records from an offset on, as many as fit in one reply. It
// returns nil if the first of them is not held.
func (h *history) from(at ids.Offset) []message.Item {
	if at < h.first || at >= h.first+ids.Offset(len(h.items)) {
		return nil
	}
	rest := h.items[at-h.first:]
	size := 0
	for i, item := range rest {
		size += len(item.Data)
		if i > 0 && size > maxReplyBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}
