package relayhost

import (
	"time"

	"github.com/clementineshed/clementineshed/pkg/quota"
	"github.com/clementineshed/clementineshed/pkg/retry"
)

// Settings are the settings of one process. They must not change while it runs.
type Settings struct {
	// Host is the host's name, Domain its failure domain.
	Host, Domain string
	BindIP       string
	// CallersAddr is the address for callers. ReadyAddr is the address for
	// readiness checks, which say whether the host takes new connections.
	CallersAddr, ReadyAddr string
	// PeerPort is the UDP port for the datagrams of other hosts. MetricsPort is
	// the TCP port that serves the metrics; zero disables it.
	PeerPort, MetricsPort int
	// MemoryBytes is the memory limit above which the process is killed.
	MemoryBytes int64
	// MaxFDs is the number of file descriptors that the process may have open; zero means
	// that only its RLIMIT_NOFILE bounds it.
	MaxFDs int
	// LinkBytesPerSecond is the rate of the host's network link.
	LinkBytesPerSecond float64
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// CloudAddress receives usage reports and orders for endpoints; it may be
	// empty.
	CloudAddress string
	// ReportUsage, OrderEngines and OrderEndpoints enable the duties that one
	// host at a time performs: reporting usage, and ordering the roles of
	// engines and the number of endpoints.
	ReportUsage, OrderEngines, OrderEndpoints bool
	// ChecksFencing says that the receivers of orders refuse outdated fencing
	// tokens.
	ChecksFencing bool
	// FirstStart says that all hosts start for the first time, so that the store does
	// not know them yet.
	FirstStart bool
	// LeaseTime is the duration of the lease on the duties. While a host holds
	// it, no other host may perform them.
	LeaseTime time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// UsageWindow is the length of a usage window. UsageDue is the time from
	// the end of a window until its report is due.
	UsageWindow, UsageDue time.Duration
	// RetryBudget bounds the retries of requests by all hosts together.
	RetryBudget retry.SharedLimits
	// QuotaBounds say how far all hosts together may exceed a team's quota.
	QuotaBounds quota.Bounds
}

// Reload logs whether the settings have changed. None of them takes effect
// before a restart: the addresses and the identity of a process are fixed, and
// a process must never act by two sets of limits for duties and retries.
func (h *Host) Reload(next Settings) {
	changed := next != h.settings
	h.log.WithField("changed", changed).Info("settings_reloaded")
}
