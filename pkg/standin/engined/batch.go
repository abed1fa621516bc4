package engined

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/prefix"
)

// Finish reasons of a stream.
const (
	FinishStop      = "stop"
	FinishLength    = "length"
	FinishCancelled = "cancelled"
)

// mixedPrefillShare is the share of a step's engine time that prefill gets while
// streams decode.
const mixedPrefillShare = 0.5

// maxStepTime caps the time that one step simulates after the loop was delayed.
const maxStepTime = 250 * time.Millisecond

// job is one generate request. The server's mutex guards the fields below wake.
type job struct {
	request      enginewire.GenerateRequest
	promptHash   uint64
	chunkHashes  []uint64
	promptTokens int
	outputLength int
	// imported is true if the prompt's KV cache came from another engine.
	imported bool
	// wake signals that the fields below changed. It buffers one signal.
	wake chan struct{}

	cachedTokens int
	// newChunks is the number of prompt chunks that were not cached at admission.
	newChunks   int
	prefillLeft float64
	prefilled   bool
	kvTokens    int
	// generated is the number of answer tokens so far, including skipped ones.
	generated    int
	tokenCredit  float64
	finishReason string
	// aborted makes the stream break off without a final event.
	aborted bool
}

func newJob(request enginewire.GenerateRequest) *job {
	hash := xxhash.Sum64String(request.Prompt)
	length := AnswerTokens(request.Prompt, request.MaxTokens)
	return &job{
		request:      request,
		promptHash:   hash,
		chunkHashes:  prefix.Chain(request.CacheSalt, []byte(request.Prompt)),
		promptTokens: max(1, prefix.Tokens(len(request.Prompt))),
		outputLength: length,
		generated:    min(max(request.SkipTokens, 0), length),
		wake:         make(chan struct{}, 1),
	}
}

func (j *job) signal() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

func (j *job) done() bool { return j.finishReason != "" || j.aborted }

// runBatchLoop is the batching loop. It blocks while there are no requests.
func (s *Server) runBatchLoop() {
	defer s.workers.Done()
	ticker := s.opts.Clock.NewTicker(max(s.opts.Step, time.Millisecond))
	defer ticker.Stop()
	last := s.opts.Clock.Now()
	for {
		if s.idle() {
			select {
			case <-s.jobQueued:
			case <-s.ctx.Done():
				return
			}
			last = s.opts.Clock.Now()
		}
		select {
		case <-ticker.Chan():
		case <-s.ctx.Done():
			return
		}
		now := s.opts.Clock.Now()
		s.step(min(now.Sub(last), maxStepTime))
		last = now
	}
}

func (s *Server) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)+len(s.running) == 0
}

// step admits requests and advances the batch by elapsed.
func (s *Server) step(elapsed time.Duration) {
	s.mu.Lock()
	crash := s.admit()
	if !crash {
		prefill, decode := s.splitByPhase()
		share := prefillShare(len(prefill), len(decode))
		s.decode(decode, elapsed.Seconds()*(1-share))
		s.prefill(prefill, elapsed.Seconds()*share)
		s.dropFinished()
		s.recordLoad()
	}
	s.mu.Unlock()
	if crash {
		s.Crash()
	}
}

// prefillShare returns the share of a step's engine time that goes to prefill.
func prefillShare(prefilling, decoding int) float64 {
	switch {
	case prefilling == 0:
		return 0
	case decoding == 0:
		return 1
	default:
		return mixedPrefillShare
	}
}

// admit moves waiting requests into the batch, highest priority first and then
// in order of arrival, while the batch and the KV memory have room. It returns
// true if the next prompt contains the crash marker.
func (s *Server) admit() bool {
	sort.SliceStable(s.waiting, func(a, b int) bool {
		return s.waiting[a].request.Priority > s.waiting[b].request.Priority
	})
	for len(s.waiting) > 0 && len(s.running) < s.opts.MaxBatch {
		j := s.waiting[0]
		cached := s.cache.cachedPrefixLen(j.chunkHashes)
		need := j.promptTokens - cached*prefix.ChunkTokens + j.outputLength
		if len(s.running) > 0 && s.activeTokens+need > s.opts.KVTokens {
			return false
		}
		if s.opts.CrashMarker != "" && strings.Contains(j.request.Prompt, s.opts.CrashMarker) {
			return true
		}
		s.waiting = s.waiting[1:]
		s.startJob(j, cached, need)
	}
	return false
}

func (s *Server) startJob(j *job, cachedChunks, need int) {
	j.newChunks = len(j.chunkHashes) - cachedChunks
	j.cachedTokens = min(cachedChunks*prefix.ChunkTokens, j.promptTokens-1)
	if j.imported {
		j.cachedTokens = j.promptTokens - 1
	}
	j.prefillLeft = float64(j.promptTokens - j.cachedTokens + j.generated)
	j.kvTokens = max(need, 0)
	s.activeTokens += j.kvTokens
	s.cache.evictTo(s.opts.KVTokens - s.activeTokens)
	s.running = append(s.running, j)
}

func (s *Server) splitByPhase() (prefill, decode []*job) {
	for _, j := range s.running {
		if j.prefilled {
			decode = append(decode, j)
		} else {
			prefill = append(prefill, j)
		}
	}
	return prefill, decode
}

// prefill spends seconds of engine time on prompts, in order of admission. A
// completed prefill yields the first token.
func (s *Server) prefill(jobs []*job, seconds float64) {
	budget := s.opts.PrefillRate * seconds
	for _, j := range jobs {
		spent := min(budget, j.prefillLeft)
		j.prefillLeft -= spent
		budget -= spent
		if j.prefillLeft > 0 {
			return
		}
		j.prefilled = true
		s.cachePrompt(j)
		j.tokenCredit = 1
		j.advance()
	}
}

// cachePrompt moves the prompt's new chunks from the request's KV memory to the
// prefix cache and makes the prefill available for export.
func (s *Server) cachePrompt(j *job) {
	moved := min(j.newChunks*prefix.ChunkTokens, j.kvTokens)
	j.kvTokens -= moved
	s.activeTokens -= moved
	s.cache.store(j.chunkHashes)
	s.exports.Add(j.request.RequestID, export{hash: j.promptHash, tokens: j.promptTokens})
	s.cache.evictTo(s.opts.KVTokens - s.activeTokens)
}

// decode spends seconds of engine time on jobs, split evenly.
func (s *Server) decode(jobs []*job, seconds float64) {
	if len(jobs) == 0 {
		return
	}
	perStream := min(s.opts.StreamRate, s.opts.DecodeRate/float64(len(jobs)))
	for _, j := range jobs {
		j.tokenCredit += perStream * seconds
		j.advance()
	}
}

// advance turns whole token credits into generated tokens.
func (j *job) advance() {
	whole := int(j.tokenCredit)
	if whole == 0 && j.generated < j.outputLength {
		return
	}
	j.tokenCredit -= float64(whole)
	j.generated = min(j.generated+whole, j.outputLength)
	if j.generated == j.outputLength {
		j.finishReason = FinishStop
		if j.outputLength < unlimitedLength(j.promptHash) {
			j.finishReason = FinishLength
		}
	}
	j.signal()
}

// dropFinished removes done jobs from the batch and frees their KV memory.
func (s *Server) dropFinished() {
	kept := s.running[:0]
	for _, j := range s.running {
		if j.done() {
			s.activeTokens -= j.kvTokens
		} else {
			kept = append(kept, j)
		}
	}
	clear(s.running[len(kept):])
	s.running = kept
}

// endJobs applies finish to the waiting and running jobs that match, removes them
// and returns their number. It must be called with mu held.
func (s *Server) endJobs(match func(*job) bool, finish func(*job)) int {
	count := 0
	kept := s.waiting[:0:0]
	for _, j := range s.waiting {
		if match(j) {
			finish(j)
			j.signal()
			count++
		} else {
			kept = append(kept, j)
		}
	}
	s.waiting = kept
	for _, j := range s.running {
		if !j.done() && match(j) {
			finish(j)
			j.signal()
			count++
		}
	}
	s.dropFinished()
	return count
}
