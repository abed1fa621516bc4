package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: topics of one partition that lose nothing.
type store struct {
	listener net.Listener

	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
}

func newStore() *store {
	s := &store{topics: map[string][][]byte{}, changed: make(chan struct{}), listener: listen()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	go func() { _ = http.Serve(s.listener, mux) }()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// put appends a new value of a key; an empty value drops the key.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], append(record, data...))
	s.announce()
}

func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topics[name])
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		s.topics[name] = append(s.topics[name], body[4:4+size])
		body = body[4+size:]
	}
	s.announce()
	writeJSON(w, map[string]int{"offset": offset, "end": len(s.topics[name])})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	name := query.Get("topic")
	from, _ := strconv.Atoi(query.Get("from"))
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[name], s.changed
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]int{"first": 0})
			return
		}
		expired := false
		if from == len(records) {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
				expired = true
			}
		}
		if !expired || from == len(records) {
			b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			b = binary.BigEndian.AppendUint64(b, 0)
			for _, record := range records[from:] {
				b = binary.BigEndian.AppendUint32(b, uint32(len(record)))
				b = append(b, record...)
			}
			_, _ = w.Write(b)
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[r.URL.Query().Get("topic")]
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	byKey := map[string]item{}
	for i, record := range records {
		size := int(record[0])
		key, value := string(record[1:1+size]), record[1+size:]
		byKey[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
		if len(value) == 0 {
			delete(byKey, key)
		}
	}
	items := []item{}
	for _, i := range byKey {
		items = append(items, i)
	}
	writeJSON(w, map[string]any{"items": items, "hasMore": false, "end": len(records)})
}

// newCloud starts a stand-in of the platform's API that accepts every call.
func newCloud() string {
	l := listen()
	go func() { _ = http.Serve(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})) }()
	return l.Addr().String()
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	return l
}
