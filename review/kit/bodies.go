package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// bodyBytes is maxBodyBytes of the configuration, the largest body that callers may
	// send.
	bodyBytes = 4194304
	// memoryMB is limits.memoryMb of the hosts.
	memoryMB = 284.0
	// usualCallers send to each host at the same time on a usual day, bodyBurst times as
	// many in the burst: the site file has bursts of 2.0 at most.
	usualCallers = 16
	bodyBurst    = 2.0
)

// keepMemoryLimit does what the platform does: it kills a process that exceeds its
// memory and starts it again. It returns how often it did.
func keepMemoryLimit(d *deployment, h *host, peak *atomic.Int64, stop <-chan struct{}) *atomic.Int64 {
	kills := &atomic.Int64{}
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			mb := h.residentMB()
			if int64(mb) > peak.Load() {
				peak.Store(int64(mb))
			}
			if mb > memoryMB {
				d.rec.say("%s: holds %.0f MB, more than %.0f: the platform kills it", h.name, mb, memoryMB)
				h.signal(syscall.SIGKILL)
				<-h.done
				kills.Add(1)
				time.Sleep(300 * time.Millisecond)
				h.start()
			}
		}
	}()
	return kills
}

// post sends an order with a large body on a connection and reads its answer.
func post(nc net.Conn, r *bufio.Reader, body []byte) (id string, status int, err error) {
	id = fmt.Sprintf("b%08d", attempts.Add(1))
	_ = nc.SetDeadline(time.Now().Add(8 * time.Second))
	if _, err := fmt.Fprintf(nc, "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Clementineshed-Attempt-Id: %s\r\nX-Clementineshed-Deadline-Ms: 8000\r\nApi-Key: key-1\r\nContent-Length: %d\r\n\r\n", id, len(body)); err != nil {
		return id, 0, err
	}
	if _, err := nc.Write(body); err != nil {
		return id, 0, err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return id, 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return id, resp.StatusCode, err
}

// bodies plays a burst of callers with large bodies.
func bodies(d *deployment, trouble bool) bool {
	for i := range 4 {
		r := startRunner(d.rec, fmt.Sprintf("i-desk-%d", i), "desk", "")
		r.work = 300 * time.Millisecond
		d.runners = append(d.runners, r)
	}
	h := d.addHost(1, "providence", 4100)
	d.run()
	stop := make(chan struct{})
	defer close(stop)
	var peak atomic.Int64
	kills := keepMemoryLimit(d, h, &peak, stop)
	body := make([]byte, bodyBytes)
	var lost, sent, answered atomic.Int64
	play := func(callers int, length time.Duration) {
		var wg sync.WaitGroup
		until := time.Now().Add(length)
		for range callers {
			wg.Go(func() {
				var nc net.Conn
				var r *bufio.Reader
				defer func() {
					if nc != nil {
						_ = nc.Close()
					}
				}()
				for time.Now().Before(until) {
					if nc == nil {
						c, err := net.DialTimeout("tcp", h.front(), time.Second)
						if err != nil {
							time.Sleep(100 * time.Millisecond)
							continue
						}
						if _, err := get(c, lateAfter); err != nil {
							_ = c.Close()
							time.Sleep(100 * time.Millisecond)
							continue
						}
						nc, r = c, bufio.NewReader(c)
					}
					id, status, err := post(nc, r, body)
					sent.Add(1)
					reached := false
					for _, w := range d.runners {
						reached = reached || w.got(id)
					}
					if err != nil {
						d.rec.line("caller: order %s on a kept connection: no answer (%v), passed on to a runner: %v", id, err, reached)
						if reached {
							lost.Add(1)
						}
						_ = nc.Close()
						nc = nil
						continue
					}
					answered.Add(1)
					d.rec.line("caller: order %s: %d", id, status)
				}
			})
		}
		wg.Wait()
	}
	play(usualCallers, 4*time.Second)
	d.rec.say("with %d callers: %d orders sent, %d answered, %d lost; at most %d MB held", usualCallers, sent.Load(), answered.Load(), lost.Load(), peak.Load())
	if trouble {
		n := int(usualCallers * bodyBurst)
		play(n, 5*time.Second)
		d.rec.say("with %d callers too: %d orders sent, %d answered, %d lost; at most %d MB held", n, sent.Load(), answered.Load(), lost.Load(), peak.Load())
	}
	play(usualCallers, 4*time.Second)
	d.rec.say("all: %d orders sent, %d answered, %d passed on and lost on kept connections; at most %d MB held, killed %d times", sent.Load(), answered.Load(), lost.Load(), peak.Load(), kills.Load())
	return lost.Load() > 3
}
