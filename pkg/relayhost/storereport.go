package relayhost

import (
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/loadshare"
)

// A fleet.StoreReport travels as the progress in two topics that do not exist, so that
// earlier versions ignore it. The first name ends with the failure domain of the sender.
// Next is the length of the span in milliseconds, AgeMillis the time since its end.
const (
	answeredPrefix = "answered/"
	outageTopic    = "outage/"
)

// addStoreReport adds a report of a host of a failure domain to its progress. Without an
// answer of the store to any host there is nothing to report.
func addStoreReport(progress map[string]loadshare.Progress, domain string, r fleet.StoreReport, now time.Time) {
	if r.Until.IsZero() {
		return
	}
	progress[answeredPrefix+domain] = spanProgress(r.From, r.Until, now)
	if !r.OutageFrom.IsZero() {
		progress[outageTopic] = spanProgress(r.OutageFrom, r.OutageUntil, now)
	}
}

func spanProgress(from, until, now time.Time) loadshare.Progress {
	return loadshare.Progress{Next: until.Sub(from).Milliseconds(), AgeMillis: max(0, now.Sub(until).Milliseconds())}
}

// storeReportOf returns the report in the progress of another host, and the failure
// domain of that host. ok is false if there is none.
func storeReportOf(progress map[string]loadshare.Progress, now time.Time) (domain string, r fleet.StoreReport, ok bool) {
	for topic, p := range progress {
		if p.AgeMillis < 0 || p.Next < 0 {
			continue
		}
		until := now.Add(-time.Duration(p.AgeMillis) * time.Millisecond)
		from := until.Add(-time.Duration(p.Next) * time.Millisecond)
		if sender, found := strings.CutPrefix(topic, answeredPrefix); found {
			domain, r.From, r.Until, ok = sender, from, until, true
		} else if topic == outageTopic {
			r.OutageFrom, r.OutageUntil = from, until
		}
	}
	return domain, r, ok
}

// logOutage logs when an outage of the store begins or ends to keep the endpoints whose
// announcements lapse. before is the last result.
func (h *Host) logOutage(before bool, now time.Time) bool {
	outage := h.fleet.RecentOutage(now)
	if outage != before {
		status := h.fleet.StoreStatus(now)
		h.log.WithFields(log.Fields{"keeps_lapsed": outage, "answered_ms_ago": now.Sub(status.Until).Milliseconds(), "confirmed": !status.OutageFrom.IsZero()}).Info("store_outage")
	}
	return outage
}
