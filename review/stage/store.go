package stage

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Store stands in for the platform's store: keyed topics of one partition. Each VM reaches it at
// a door of its own, so that the store can turn away some VMs and serve the others.
type Store struct {
	record *Record

	mu      sync.Mutex
	topics  map[string][]entry
	changed chan struct{}
	doors   []*Door
}

// entry is one record of a topic. Its offset is its index.
type entry struct {
	key   string
	value []byte
}

// Door is where one VM reaches the store.
type Door struct {
	store    *Store
	name     string
	listener net.Listener
	server   *http.Server

	mu     sync.Mutex
	silent bool
	// lost holds the connections on which an answer was lost. They stay open and carry no
	// further answer.
	lost []net.Conn
}

func newStore(r *Record) *Store {
	return &Store{record: r, topics: map[string][]entry{}, changed: make(chan struct{})}
}

// open returns a door that listens on the address.
func (s *Store) open(name, address string) (*Door, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &Door{store: s, name: name, listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", d.append)
	mux.HandleFunc("GET /log-read", d.read)
	mux.HandleFunc("GET /log-newest", d.newest)
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(listener) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doors = append(s.doors, d)
	return d, nil
}

func (s *Store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.doors {
		_ = d.server.Close()
		d.mu.Lock()
		for _, c := range d.lost {
			_ = c.Close()
		}
		d.mu.Unlock()
	}
}

// put appends a record.
func (s *Store) put(topic, key string, value []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], entry{key: key, value: value})
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic]) - 1
}

// after returns the records from an offset on, and a channel that is closed at the next change.
func (s *Store) after(topic string, from int) ([]entry, int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.topics[topic]
	return all[min(from, len(all)):], len(all), s.changed
}

// SetSilent makes the store give no response at this door, or serve it again. While it is silent,
// the answer that becomes due is lost, and its connection returns nothing further.
func (d *Door) SetSilent(silent bool) {
	d.store.record.Line("store: silent at the door of %s: %t", d.name, silent)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
}

// lose reports whether the answer is lost, and then keeps its connection open without a word.
func (d *Door) lose(w http.ResponseWriter, r *http.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.silent {
		return false
	}
	d.store.record.Line("store: no response to %s from %s", r.URL.RequestURI(), d.name)
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		d.lost = append(d.lost, c)
	}
	return true
}

func (d *Door) append(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil || len(raw) < 5 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if d.lose(w, r) {
		return
	}
	content := raw[4:]
	n := int(content[0])
	at := d.store.put(r.URL.Query().Get("topic"), string(content[1:1+n]), content[1+n:])
	reply(w, map[string]any{"offset": at, "endOffset": at + 1})
}

func (d *Door) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	if d.lose(w, r) {
		return
	}
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		records, end, changed := d.store.after(q.Get("topic"), from)
		if len(records) == 0 {
			select {
			case <-changed:
				continue
			case <-until:
			case <-r.Context().Done():
				return
			}
		}
		if d.lose(w, r) {
			return
		}
		raw := binary.BigEndian.AppendUint64(nil, uint64(end))
		raw = binary.BigEndian.AppendUint64(raw, 0)
		for _, e := range records {
			raw = binary.BigEndian.AppendUint32(raw, uint32(1+len(e.key)+len(e.value)))
			raw = append(raw, byte(len(e.key)))
			raw = append(raw, e.key...)
			raw = append(raw, e.value...)
		}
		_, _ = w.Write(raw)
		return
	}
}

func (d *Door) newest(w http.ResponseWriter, r *http.Request) {
	if d.lose(w, r) {
		return
	}
	records, end, _ := d.store.after(r.URL.Query().Get("topic"), 0)
	offsets := map[string]int{}
	for i, e := range records {
		offsets[e.key] = i
	}
	keys := []string{}
	for key, at := range offsets {
		if len(records[at].value) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, key := range keys {
		value := base64.StdEncoding.EncodeToString(records[offsets[key]].value)
		items = append(items, map[string]any{"key": key, "value": value, "offset": offsets[key]})
	}
	reply(w, map[string]any{"items": items, "hasMore": false, "endOffset": end})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
