package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

func init() { cases["origins"] = origins }

const (
	streamEvents   = 60
	streamEventGap = 100 * time.Millisecond
	// streams is more than the 12 that the rule asks for.
	streams = 24
)

// streamEventsOf makes a decode runner write a stream of numbered events.
func streamEventsOf(r *runner) {
	r.answer = func(c net.Conn, a arrival) bool {
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Clementineshed-Attempt-Id: "+a.id+"\r\nX-Clementineshed-Server-Stamp: "+r.id+"."+a.id+
			"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
			return false
		}
		from, _ := strconv.Atoi(a.header.Get("Last-Event-Id"))
		for i := from + 1; i <= streamEvents; i++ {
			event := fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
			time.Sleep(streamEventGap)
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// origins cuts a host off from the store, kills it, and takes up its streams at another host.
func origins(disturb bool) int {
	rec := newRecord()
	d := newDeployment()
	defer d.stop()
	storeOf1 := newProxy(d.store.address())
	for _, software := range []string{"v1", "v2"} {
		for i := range 2 {
			prefill := newRunner(fmt.Sprintf("p-%s-%d", software, i), "prefill")
			decode := newRunner(fmt.Sprintf("d-%s-%d", software, i), "decode")
			streamEventsOf(decode)
			prefill.software, decode.software = software, software
			d.runners["llm"] = append(d.runners["llm"], prefill, decode)
		}
	}
	d.route("/draft/", "stream", "llm", 20000, 3, true)
	d.configure()
	d.announce()
	h1 := d.startWith("front-1", "east", storeOf1.address())
	h2 := d.start("front-2", "west")
	// The software versions are known to all hosts by then.
	time.Sleep(4 * time.Second)
	if disturb {
		storeOf1.cut()
		rec.line("front-1 is cut off from the store")
		time.Sleep(1500 * time.Millisecond)
	}
	type stream struct {
		id, last string
		server   string
	}
	list := make([]stream, streams)
	var began sync.WaitGroup
	var ended sync.WaitGroup
	for i := range list {
		began.Add(1)
		ended.Add(1)
		go func() {
			defer ended.Done()
			s := &list[i]
			s.id = fmt.Sprintf("first-%d", i)
			once := sync.OnceFunc(began.Done)
			defer once()
			c, err := dial(h1)
			if err != nil {
				rec.line("%s: %v", s.id, err)
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, request("POST", "/draft/x", s.id, 15*time.Second, prompt(i)...))
			resp, err := answerOf(bufio.NewReader(c))
			if err != nil || resp.StatusCode != 200 {
				rec.line("%s at front-1: no stream: %v", s.id, err)
				return
			}
			s.server = resp.Header.Get("X-Clementineshed-Server-Stamp")
			ids, complete := events(resp, func(id string) {
				s.last = id
				if id == "5" {
					once()
				}
			})
			rec.line("%s at front-1 (%s): %d events, complete %v", s.id, s.server, len(ids), complete)
		}()
	}
	began.Wait()
	time.Sleep(time.Second)
	_ = h1.cmd.Process.Kill()
	rec.line("front-1 is killed")
	ended.Wait()
	// The clients take their streams up at front-2, and as many new streams begin there.
	var mu sync.Mutex
	takenUp, goneOn, fresh, freshBegan := 0, 0, 0, 0
	var wg sync.WaitGroup
	for i := range list {
		s := list[i]
		if s.last != "" {
			takenUp++
			wg.Go(func() {
				status, first := open(h2, s.id+"-again", i, "Last-Event-Id: "+s.last, "Resumes: "+s.id)
				rec.line("%s takes up %s after event %s at front-2: status %d, first event %q", s.id+"-again", s.id, s.last, status, first)
				last, _ := strconv.Atoi(s.last)
				if status == 200 && first == strconv.Itoa(last+1) {
					mu.Lock()
					goneOn++
					mu.Unlock()
				}
			})
		}
		fresh++
		wg.Go(func() {
			status, first := open(h2, fmt.Sprintf("new-%d", i), i)
			rec.line("new-%d begins at front-2: status %d, first event %q", i, status, first)
			if status == 200 && first == "1" {
				mu.Lock()
				freshBegan++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if takenUp < 12 {
		rec.line("only %d streams were taken up", takenUp)
		return notRun
	}
	if !h2.running() {
		rec.line("front-2 has ended")
		return notRun
	}
	share, freshShare := float64(goneOn)/float64(takenUp), float64(freshBegan)/float64(fresh)
	return rec.verdict(share < freshShare/2, "of %d streams taken up at front-2 %d went on; of %d new ones %d began", takenUp, goneOn, fresh, freshBegan)
}

// prompt returns the headers of a request for model work.
func prompt(i int) []string {
	return []string{"X-Clementineshed-Model: m", "X-Clementineshed-Token-Count: 120,80", fmt.Sprintf("X-Clementineshed-Prompt-Prefix: 5c1e07a2:80,%08x:40", 0xe4400000+i), "Content-Length: 0"}
}

// open sends a request for a stream and returns the status and the id of its first event.
func open(h *host, id string, i int, fields ...string) (status int, first string) {
	c, err := dial(h)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(c, request("POST", "/draft/x", id, 9*time.Second, append(prompt(i), fields...)...))
	resp, err := answerOf(bufio.NewReader(c))
	if err != nil {
		return 0, ""
	}
	if resp.StatusCode == 200 {
		_, _ = events(resp, func(id string) {
			if first == "" {
				first = id
				_ = c.Close()
			}
		})
	}
	return resp.StatusCode, first
}
