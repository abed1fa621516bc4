package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is the platform's store: logs with one partition. It is always up.
type store struct {
	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
}

func newStore() *store {
	return &store{topics: map[string][][]byte{}, changed: make(chan struct{})}
}

// append adds records to a topic and returns the offset of the first one and the end.
func (s *store) append(topic string, records ...[]byte) (offset, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset = len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, len(s.topics[topic])
}

// put writes the value of a key as JSON; nil drops the key.
func (s *store) put(topic, key string, value any) {
	record := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		record = append(record, data...)
	}
	s.append(topic, record)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.handleAppend(w, r, topic)
	case "GET /log-read":
		s.handleRead(w, r, topic)
	case "GET /log-newest":
		s.handleNewest(w, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	time.Sleep(4 * time.Millisecond)
	offset, end := s.append(topic, records...)
	writeJSON(w, map[string]int{"offset": offset, "end": end})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		all, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from < len(all) {
			writePage(w, len(all), all[from:])
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writePage(w, len(all), nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writePage(w http.ResponseWriter, end int, records [][]byte) {
	b := binary.BigEndian.AppendUint64(nil, uint64(end))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, r := range records {
		if len(b) > 1<<20 {
			break
		}
		b = binary.BigEndian.AppendUint32(b, uint32(len(r)))
		b = append(b, r...)
	}
	_, _ = w.Write(b)
}

func (s *store) handleNewest(w http.ResponseWriter, topic string) {
	s.mu.Lock()
	all := slices.Clone(s.topics[topic])
	s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := map[string]item{}
	for i, record := range all {
		size := int(record[0])
		key, value := string(record[1:1+size]), record[1+size:]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
	}
	items := []item{}
	for _, it := range newest {
		items = append(items, it)
	}
	writeJSON(w, map[string]any{"items": items, "hasMore": false, "end": len(all)})
}

func writeJSON(w http.ResponseWriter, value any) {
	_ = json.NewEncoder(w).Encode(value)
}
