package burn

// Snapshot holds the counters of one or more hosts. It is plain data that
// encodes to JSON.
type Snapshot struct {
	// AtMillis is the time of the newest counters, in Unix milliseconds.
	AtMillis int64 `json:"at_ms"`
	// Hosts is the number of hosts whose counters are included.
	Hosts   int                    `json:"hosts"`
	Classes map[string]ClassCounts `json:"classes"`
}

// ClassCounts holds the counters of one class. Teams is keyed by team name.
type ClassCounts struct {
	History History                 `json:"history"`
	Latency Latency                 `json:"latency"`
	Teams   map[string]WindowCounts `json:"teams"`
}

// Merge adds the counters of several hosts. The hosts' clocks must agree to
// within a bucket, and the snapshots must be taken at about the same time.
func Merge(snapshots ...Snapshot) Snapshot {
	merged := Snapshot{Classes: map[string]ClassCounts{}}
	for _, s := range snapshots {
		merged.AtMillis = max(merged.AtMillis, s.AtMillis)
		merged.Hosts += s.Hosts
		for name, counts := range s.Classes {
			merged.Classes[name] = merged.Classes[name].plus(counts)
		}
	}
	return merged
}

func (c ClassCounts) plus(other ClassCounts) ClassCounts {
	sum := ClassCounts{History: c.History, Teams: make(map[string]WindowCounts, len(c.Teams))}
	for i := range sum.History {
		for j := range sum.History[i] {
			sum.History[i][j] = sum.History[i][j].plus(other.History[i][j])
		}
	}
	sum.Latency.FirstToken = c.Latency.FirstToken.plus(other.Latency.FirstToken)
	sum.Latency.BetweenTokens = c.Latency.BetweenTokens.plus(other.Latency.BetweenTokens)
	sum.Latency.Completion = c.Latency.Completion.plus(other.Latency.Completion)
	for team, counts := range c.Teams {
		sum.Teams[team] = counts
	}
	for team, counts := range other.Teams {
		sum.Teams[team] = sum.Teams[team].plus(counts)
	}
	return sum
}
