// Package faultlog wraps a log service client and injects the faults that the
// real service shows: answers that are lost after the append took effect,
// appends that take effect late, outages, and delayed reads. It is for tests and
// benchmarks only. Safety properties under test must not depend on an answer of
// the wrapped client.
package faultlog

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/logservice"
)

var errInjected = errors.New("injected fault")

// Rates are the probabilities of faults per request, 0 to 1. Lost, Late and Never
// exclude each other.
type Rates struct {
	// Lost appends take effect but are not answered.
	Lost float64
	// Late appends are not answered and take effect after up to MaxDelay.
	Late float64
	// Never appends are not answered and have no effect.
	Never float64
	// Slow reads are delayed by up to MaxDelay, half of them before they reach
	// the service and half of them after.
	Slow float64
	// MaxDelay bounds the delays of late appends and slow reads.
	MaxDelay time.Duration
}

// Client injects faults into the requests of one host. It is safe for
// concurrent use.
type Client struct {
	inner logservice.Client
	clock clockwork.Clock
	late  sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu.
	rand  *rand.Rand
	rates Rates
	down  bool
	stats Stats
}

// Stats counts requests, and the records in the appends.
type Stats struct{ Appends, Records, Reads int }

// New returns a client that sends requests to inner. It owns random.
func New(inner logservice.Client, clock clockwork.Clock, random *rand.Rand, rates Rates) *Client {
	return &Client{inner: inner, clock: clock, rand: random, rates: rates}
}

// SetDown starts or ends an outage. During an outage every request fails without
// effect.
func (c *Client) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// Stats returns the counts so far.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// Close waits until all late appends have taken effect.
func (c *Client) Close() { c.late.Wait() }

// drawFault counts a request and draws its fault. records is 0 for a read.
func (c *Client) drawFault(records int) (p float64, delay time.Duration, rates Rates, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if records > 0 {
		c.stats.Appends++
		c.stats.Records += records
	} else {
		c.stats.Reads++
	}
	if c.rates.MaxDelay > 0 {
		delay = time.Duration(c.rand.Int63n(int64(c.rates.MaxDelay)))
	}
	return c.rand.Float64(), delay, c.rates, c.down
}

// Append implements logservice.Client.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	p, delay, rates, down := c.drawFault(len(records))
	if down {
		return 0, errors.Wrap(logservice.ErrNotAppended, "outage")
	}
	switch {
	case p < rates.Lost:
		if _, err := c.inner.Append(ctx, stream, records); err != nil {
			return 0, err
		}
		return 0, errors.Wrap(logservice.ErrOutcomeUnknown, errInjected.Error())
	case p < rates.Lost+rates.Late:
		c.appendLate(stream, records, delay)
		return 0, errors.Wrap(logservice.ErrOutcomeUnknown, errInjected.Error())
	case p < rates.Lost+rates.Late+rates.Never:
		return 0, errors.Wrap(logservice.ErrOutcomeUnknown, errInjected.Error())
	}
	return c.inner.Append(ctx, stream, records)
}

func (c *Client) appendLate(stream string, records [][]byte, delay time.Duration) {
	c.late.Add(1)
	go func() {
		defer c.late.Done()
		c.clock.Sleep(delay)
		// The caller already has ErrOutcomeUnknown, whether this fails or not.
		_, _ = c.inner.Append(context.Background(), stream, records)
	}()
}

// Read implements logservice.Client.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logservice.Page, error) {
	p, delay, rates, down := c.drawFault(0)
	if down {
		return logservice.Page{}, errors.Wrap(logservice.ErrUnavailable, "outage")
	}
	if p < rates.Slow/2 {
		c.clock.Sleep(delay)
	}
	page, err := c.inner.Read(ctx, stream, from, limit, wait)
	if p >= rates.Slow/2 && p < rates.Slow {
		c.clock.Sleep(delay)
	}
	return page, err
}
