package dispatch

import (
	"github.com/clementineshed/clementineshed/pkg/admission"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/prefix"
	"github.com/clementineshed/clementineshed/pkg/roles"
)

// engineRates holds the rates of an engine in tokens per second.
type engineRates struct{ prefill, decode float64 }

// meanRates returns the mean rates, by model, of the engines with a load report.
func meanRates(statuses []endpoint.Status) map[string]engineRates {
	sums := map[string]engineRates{}
	counts := map[string]float64{}
	for _, s := range statuses {
		if !s.IsEngine() || !s.HasLoad {
			continue
		}
		sum := sums[s.Load.Model]
		sum.prefill += s.Load.PrefillRate
		sum.decode += s.Load.DecodeRate
		sums[s.Load.Model] = sum
		counts[s.Load.Model]++
	}
	for model, sum := range sums {
		sums[model] = engineRates{prefill: sum.prefill / counts[model], decode: sum.decode / counts[model]}
	}
	return sums
}

// reportOffered passes the work of a new request to Options.OnOffered. Without an
// engine of its model the work cannot be expressed in engine seconds and is not
// reported.
func (d *Dispatcher) reportOffered(request *admission.Request) {
	d.mu.Lock()
	rates := d.rates[request.Model]
	d.mu.Unlock()
	if d.onOffered == nil || request.Model == "" || rates.prefill == 0 || rates.decode == 0 {
		return
	}
	uncached := request.PromptTokens
	if matches := d.index.Lookup(nil, request.Chain, 1); len(matches) > 0 {
		uncached = max(1, uncached-matches[0].Chunks*prefix.ChunkTokens)
	}
	output := d.lengths.Remaining(request.Class.Name, 0)
	if request.MaxOutput > 0 {
		output = min(output, request.MaxOutput)
	}
	d.onOffered(roles.Work{
		Prefill: float64(uncached) / rates.prefill,
		Decode:  float64(output) / rates.decode,
	}, request.Tolerant)
}
