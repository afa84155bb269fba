package record_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/record"
)

// FuzzDecode checks that Decode does not panic on any bytes, and that every record
// it returns can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	seeds := []record.Record{
		record.Edit{ID: "a", Path: "teams/x", Values: map[string]string{"credential": "b"}},
		record.Snapshot{As: 3, Parts: 1, Sections: []record.Section{{Path: "teams/x", Version: 2}}},
	}
	for _, r := range seeds {
		data, err := record.Encode(r)
		must.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := record.Decode(data)
		if err != nil {
			return
		}
		again, err := record.Encode(r)
		must.NoError(t, err)
		_, err = record.Decode(again)
		must.NoError(t, err)
	})
}
