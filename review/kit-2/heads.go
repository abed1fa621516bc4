//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["heads"] = heads }

const (
	// memoryMB is limits.memoryMb of the hosts, headerLimit the maxHeaderBytes of the
	// configuration.
	memoryMB    = 284
	headerLimit = 16384
	// headClients is the number of clients that send to one host at once; each host has
	// 4,100 descriptors, and the runners take 12 x 360 connections.
	headClients = 1700
	headWaves   = 3
)

// anonymousMB returns the anonymous resident memory of a host's process, which leaves out
// its program file.
func (h *host) anonymousMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kb float64
		if _, err := fmt.Sscanf(line, "RssAnon: %f", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// manyParts returns the fields of a prompt whose parts, of one token each, fill a head up to
// its limit. part returns the ID of a part, own is the last one.
func manyParts(part func(k int) int, own int) map[string]string {
	var b strings.Builder
	k := 0
	for ; b.Len() < headerLimit-500; k++ {
		fmt.Fprintf(&b, "%x:1,", part(k))
	}
	fmt.Fprintf(&b, "%x:1", own)
	return map[string]string{"X-Clementineshed-Prompt-Prefix": b.String(), "X-Clementineshed-Token-Count": fmt.Sprintf("%d,40", k+1)}
}

// heads: many clients at once send requests for streams whose heads name many prompt parts
// and stay within the limit of the configuration.
func heads(d *deployment, rec *record) []string {
	d.configure(standardRoutes(), map[string]any{"maxHeaderBytes": headerLimit, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000})
	for i := range 4 {
		d.addRunner(newRunner(d.ip(), fmt.Sprintf("i-desk%d", i), "order-desk", zones[i%4], ""))
	}
	for i := range 12 {
		stage := "decode"
		if i%4 == 0 {
			stage = "prefill"
		}
		r := newRunner(d.ip(), fmt.Sprintf("i-llm%d", i), "llm", zones[i%4], stage)
		r.events, r.gap = 24, 190*time.Millisecond
		d.addRunner(r)
	}
	d.startHosts(3, "")
	time.Sleep(4 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	var ordinary load
	d.run(ctx, &ordinary, 30, []string{"order", "lookup"}, d.hosts)
	kills := map[*host]int{}
	for wave := range headWaves {
		for _, h := range d.hosts[:2] {
			d.headWave(h, rec, wave, kills)
		}
	}
	stop()
	ordinary.wg.Wait()
	ordinary.write(rec)
	d.writeRuns(rec)
	counts := map[string]int{}
	for _, c := range ordinary.calls {
		text := c.outcome()
		if c.err != nil {
			text = "no answer"
		}
		counts[text]++
	}
	rec.line("ordinary requests: %v", counts)
	ended := 0
	for h, n := range kills {
		rec.line("%s was killed %d times for its memory", h.name, n)
		if n >= headWaves {
			ended++
		}
	}
	if ended >= 2 {
		return []string{fmt.Sprintf("Fault: the processes of %d of 3 machines ended %d times each, over their memory of %d MB", ended, headWaves, memoryMB)}
	}
	return nil
}

// headWave lets the clients send to one host, and kills its process as the platform does
// when it exceeds its memory.
func (d *deployment) headWave(h *host, rec *record, wave int, kills map[*host]int) {
	ctx, cancel := context.WithCancel(context.Background())
	var l load
	for i := range headClients {
		l.wg.Go(func() {
			wait(ctx, time.Duration(i)*2*time.Millisecond)
			header := map[string]string{}
			if trouble {
				header = manyParts(func(k int) int { return k % 16 }, 16+i)
			}
			l.add(d.send(ctx, h, "draft", header))
		})
	}
	ended := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		peak := 0.0
		defer func() { rec.line("wave %d at %s: peak %.0f MB of %d MB", wave, h.name, peak, memoryMB) }()
		for {
			peak = max(peak, h.anonymousMB())
			if peak > memoryMB {
				kills[h]++
				h.kill()
				rec.line("%s holds %.0f MB and is killed", h.name, peak)
				return
			}
			select {
			case <-ended:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	l.wg.Wait()
	close(ended)
	wg.Wait()
	cancel()
	l.write(rec)
	counts := map[string]int{}
	for _, c := range l.calls {
		text := c.outcome()
		if c.err != nil && c.status != 0 {
			text = "the stream broke off"
		} else if c.err != nil {
			text = "no answer"
		}
		counts[text]++
	}
	rec.line("the %d clients at %s: %v", headClients, h.name, counts)
	if !h.running() {
		time.Sleep(500 * time.Millisecond)
		d.launch(h)
	}
	for h.readiness() != 200 {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
}
