//go:build review

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

// store is a stand-in of the platform's store: a log with topics of one partition each,
// and the newest record of each key of the topics whose names begin with "keyed.".
type store struct {
	listener net.Listener

	mu sync.Mutex
	// The fields below are guarded by mu. changed is closed and replaced at each append.
	topics  map[string]*topic
	changed chan struct{}
	// before, if set, handles a call in the store's place and reports whether it did.
	before func(w http.ResponseWriter, r *http.Request) bool
	// onAppend, if set, is called with each record appended by a host.
	onAppend func(topic string, record []byte, at time.Time)
}

type topic struct {
	first   int64
	records [][]byte
	newest  map[string]keyedValue
}

type keyedValue struct {
	value  []byte
	offset int64
}

func newStore(ip string) *store {
	s := &store{listener: listen(ip), topics: map[string]*topic{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.handleAppend)
	mux.HandleFunc("GET /log-read", s.handleRead)
	mux.HandleFunc("GET /log-newest", s.handleNewest)
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			before := s.before
			s.mu.Unlock()
			if before != nil && before(w, r) {
				return
			}
			mux.ServeHTTP(w, r)
		})}).Serve(s.listener)
	}()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// topicLocked must be called with mu held.
func (s *store) topicLocked(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyedValue{}}
		s.topics[name] = t
	}
	return t
}

// append adds records all at once and returns the offset of the first.
func (s *store) append(name string, records [][]byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicLocked(name)
	offset := t.first + int64(len(t.records))
	for i, r := range records {
		t.records = append(t.records, r)
		if len(name) > 6 && name[:6] == "keyed." && len(r) > 0 && len(r) > int(r[0]) {
			key, value := string(r[1:1+r[0]]), r[1+int(r[0]):]
			if len(value) == 0 {
				delete(t.newest, key)
			} else {
				t.newest[key] = keyedValue{value, offset + int64(i)}
			}
		}
		if s.onAppend != nil {
			s.onAppend(name, r, time.Now())
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// put writes a value of a key and returns when the store has accepted it.
func (s *store) put(name, key string, value []byte) time.Time {
	s.append(name, [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
	return time.Now()
}

func (s *store) putJSON(name, key string, value any) time.Time {
	data, err := json.Marshal(value)
	check(err)
	return s.put(name, key, data)
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(4 * time.Millisecond)
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	offset := s.append(name, records)
	writeJSON(w, map[string]int64{"offset": offset, "end": offset + int64(len(records))})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	maxKB, err := strconv.Atoi(q.Get("maxKb"))
	if err != nil {
		maxKB = 1024
	}
	time.Sleep(4 * time.Millisecond)
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topicLocked(q.Get("topic"))
		first, end := t.first, t.first+int64(len(t.records))
		var records [][]byte
		if from >= first && from < end {
			records = t.records[from-first:]
		}
		changed := s.changed
		s.mu.Unlock()
		if from < first {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]int64{"first": first})
			return
		}
		if len(records) > 0 || waitMs == 0 {
			writePage(w, end, first, records, maxKB<<10)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writePage(w http.ResponseWriter, end, first int64, records [][]byte, limit int) {
	b := binary.BigEndian.AppendUint64(nil, uint64(end))
	b = binary.BigEndian.AppendUint64(b, uint64(first))
	for i, r := range records {
		if i > 0 && len(b)+len(r) > limit {
			break
		}
		b = binary.BigEndian.AppendUint32(b, uint32(len(r)))
		b = append(b, r...)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(b)
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	t := s.topicLocked(r.URL.Query().Get("topic"))
	items := []item{}
	for k, v := range t.newest {
		items = append(items, item{k, base64.StdEncoding.EncodeToString(v.value), v.offset})
	}
	end := t.first + int64(len(t.records))
	s.mu.Unlock()
	writeJSON(w, map[string]any{"items": items, "hasMore": false, "end": end})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// cloud is a stand-in of the platform's API. It checks fencing tokens by subject.
type cloud struct {
	listener net.Listener

	mu     sync.Mutex
	tokens map[string]int64
	calls  []cloudCall
}

type cloudCall struct {
	at      time.Time
	path    string
	holder  string
	token   int64
	subject string
	status  int
}

func newCloud(ip string) *cloud {
	c := &cloud{listener: listen(ip), tokens: map[string]int64{}}
	go func() { _ = (&http.Server{Handler: c}).Serve(c.listener) }()
	return c
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		WindowSeq int64  `json:"windowSeq"`
		Service   string `json:"service"`
		Zone      string `json:"zone"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	token, err := strconv.ParseInt(r.Header.Get("X-Clementineshed-Fencing-Token"), 10, 64)
	subject := r.URL.Path
	if r.URL.Path == "/scale" {
		subject += " " + body.Service + " " + body.Zone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	status := http.StatusOK
	switch {
	case err != nil:
		status = http.StatusBadRequest
	case token < c.tokens[subject]:
		status = http.StatusConflict
	default:
		c.tokens[subject] = token
	}
	c.calls = append(c.calls, cloudCall{time.Now(), r.URL.Path, r.Header.Get("X-Clementineshed-Duty-Holder"), token, subject, status})
	w.WriteHeader(status)
}
