package admission

import (
	"math"
	"math/bits"
	"sync"
)

const (
	// lengthBuckets is the number of histogram buckets. Each power of two up to
	// 2^20 tokens has two.
	lengthBuckets = 40
	// lengthHalfLife is the number of further observations after which the
	// weight of one has halved, so that estimates follow a change in the mix of
	// requests within minutes.
	lengthHalfLife = 500
	// defaultOutput is the output length, in tokens, assumed for a class without
	// observations.
	defaultOutput = 256
)

// Lengths estimates output lengths by class from completed requests. It is safe
// for concurrent use.
type Lengths struct {
	mu      sync.Mutex
	classes map[string]*lengthHistogram // guarded by mu
}

type lengthHistogram struct {
	weight [lengthBuckets]float64
	// nextWeight is the weight of the next observation. It grows exponentially,
	// which decays older observations without a pass over the buckets.
	nextWeight float64
}

// NewLengths returns an estimator without observations.
func NewLengths() *Lengths { return &Lengths{classes: map[string]*lengthHistogram{}} }

// Observe adds the output length, in tokens, of a completed request.
func (l *Lengths) Observe(class string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.classes[class]
	if h == nil {
		h = &lengthHistogram{nextWeight: 1}
		l.classes[class] = h
	}
	h.weight[lengthBucket(tokens)] += h.nextWeight
	h.nextWeight *= math.Exp2(1.0 / lengthHalfLife)
	// Rescales before the weights overflow.
	if h.nextWeight > 1e9 {
		for i := range h.weight {
			h.weight[i] /= h.nextWeight
		}
		h.nextWeight = 1
	}
}

// Remaining estimates how many more tokens a request of the class generates
// after the first produced ones: the mean of the observations longer than
// produced, less produced. With produced 0 it is the estimate for a new request.
// A request longer than nearly all observations is assumed to be half done.
func (l *Lengths) Remaining(class string, produced int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.classes[class]
	if h == nil {
		return max(defaultOutput-produced, produced)
	}
	sum, weight := 0.0, 0.0
	for i := range h.weight {
		length := bucketLength(i)
		if length > float64(produced) {
			sum += h.weight[i] * length
			weight += h.weight[i]
		}
	}
	if weight < h.nextWeight/2 {
		return max(produced, 1)
	}
	return max(int(sum/weight)-produced, 1)
}

// lengthBucket maps [2^k, 1.5*2^k) to 2k and [1.5*2^k, 2^(k+1)) to 2k+1.
func lengthBucket(tokens int) int {
	tokens = max(tokens, 1)
	k := bits.Len(uint(tokens)) - 1
	bucket := 2 * k
	if k > 0 && tokens>>(k-1)&1 == 1 {
		bucket++
	}
	return min(bucket, lengthBuckets-1)
}

// bucketLength returns the middle of a bucket, in tokens.
func bucketLength(bucket int) float64 {
	lower := math.Exp2(float64(bucket / 2))
	if bucket%2 == 0 {
		return 1.25 * lower
	}
	return 1.75 * lower
}
