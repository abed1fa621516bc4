package relayhost

import (
	"time"

	"github.com/clementineshed/clementineshed/pkg/retry"
)

// Settings are the settings of one process.
type Settings struct {
	// Host is the host's name, Domain its failure domain.
	Host, Domain string
	BindIP       string
	// CallersAddr takes requests; ReadyAddr answers whether new connections are
	// welcome.
	CallersAddr, ReadyAddr string
	// LinkPort carries reports between hosts, MetricsPort serves the metrics; zero
	// serves none.
	LinkPort, MetricsPort int
	// MemoryBytes is the limit at which the process is killed.
	MemoryBytes int64
	// LinkBytesPerSecond is the rate of the host's link.
	LinkBytesPerSecond float64
	// StoreAddress is the platform's store.
	StoreAddress string
	// CloudAddress takes usage reports and orders for endpoints; it may be empty.
	CloudAddress string
	// ReportUsage, OrderEngines and OrderServers are the duties of one host at a
	// time.
	ReportUsage, OrderEngines, OrderServers bool
	// ChecksFencing says that receivers refuse lower fencing numbers.
	ChecksFencing bool
	// LeaseTime is the time within which two hosts must not take turns in a duty.
	LeaseTime time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// UsageWindow is the length of a usage window, UsageDue the time after its
	// end until its report is due.
	UsageWindow, UsageDue time.Duration
	Repeats               retry.SharedLimits
}

// Reload takes over new settings. Addresses and the identity of a process hold
// until its end; the bounds of duties and repeats hold until a restart as well, so
// that one process never acts by two sets of them.
func (h *Host) Reload(next Settings) {
	changed := next != h.settings
	h.log.WithField("changed", changed).Info("settings_reloaded")
}
