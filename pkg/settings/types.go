package settings

import "github.com/clementineshed/clementineshed/pkg/declaration"

// Duration is a time.Duration that is encoded with its unit, such as "20s".
type Duration = declaration.Duration

// Settings are the settings of one process. Each field has a row in Table, which
// takes its text from the "unit", "default" and "help" tags. A field without a
// "default" tag is required; a field with an empty one is optional, except for
// TLS.Peers.
type Settings struct {
	Host      Host      `json:"host"`
	Listen    Listen    `json:"listen"`
	Platform  Platform  `json:"platform"`
	TLS       TLS       `json:"tls"`
	Limits    Limits    `json:"limits"`
	Authority Authority `json:"authority"`
	Log       Log       `json:"log"`
}

// Host identifies the process.
type Host struct {
	Name     string `json:"name" unit:"name" help:"name of the host in the host list"`
	Instance string `json:"instance" unit:"name" help:"id of the host instance; changes when the host is replaced, not when the process restarts"`
	Domain   string `json:"domain" unit:"name" help:"failure domain of the host"`
	// Domains determines what a majority is while the log service is unavailable,
	// so it must be the same on all hosts.
	Domains []string `json:"domains" unit:"list of names" help:"all failure domains of the deployment, including the host's own"`
}

// Listen holds the addresses that the process binds.
type Listen struct {
	Callers   string `json:"callers" unit:"IP:port" help:"TCP address for callers, behind the load balancer"`
	Operators string `json:"operators" unit:"IP:port" help:"TCP address for operators and health checks"`
	Peers     string `json:"peers" unit:"IP:port" help:"UDP address for other entry hosts"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	LogService []string `json:"log_service" unit:"list of IP:port" help:"addresses of the log service, tried in order"`
	// LogRetention determines the deduplication period of Idempotency-Keys and
	// the interval of snapshots.
	LogRetention Duration `json:"log_retention" unit:"duration" default:"10m" help:"time for which the log service keeps a record at least; the same on all hosts. An Idempotency-Key is remembered for half of it"`
	Endpoints    string   `json:"endpoints" unit:"IP:port" help:"endpoint interface"`
	Usage        string   `json:"usage" unit:"IP:port" help:"usage interface"`
	HostList     string   `json:"host_list" unit:"IP:port" help:"host list"`
	WeightStore  string   `json:"weight_store" unit:"IP:port" help:"weight store"`
	Timeout      Duration `json:"timeout" unit:"duration" default:"2s" help:"time limit of one request; a long poll gets its wait time in addition"`
}

// TLS holds the PEM file names of each link. Links between entry hosts always
// use mutual TLS.
type TLS struct {
	Callers   Link `json:"callers" help:"optional if the load balancer ends TLS"`
	Operators Link `json:"operators" help:"optional"`
	Peers     Link `json:"peers" help:"required"`
	Platform  Link `json:"platform" help:"optional"`
	Endpoints Link `json:"endpoints" help:"optional"`
}

// Link holds the PEM file names of one link. Certificate and Key must be set
// together.
type Link struct {
	Certificate string `json:"certificate" unit:"file name" default:"" help:"certificate chain of this host"`
	Key         string `json:"key" unit:"file name" default:"" help:"private key of the certificate"`
	CA          string `json:"ca" unit:"file name" default:"" help:"certificates that the other side is checked against"`
}

// Limits bounds request sizes, connections, stalled transfers and shutdown.
type Limits struct {
	HeaderBytes   Bytes    `json:"header_bytes" unit:"bytes" default:"16KiB" help:"request line and headers of one request"`
	BodyBytes     Bytes    `json:"body_bytes" unit:"bytes" default:"8MiB" help:"body of one request"`
	ReadProgress  Duration `json:"read_progress" unit:"duration" default:"10s" help:"time without a byte of a request after which the connection is closed"`
	WriteProgress Duration `json:"write_progress" unit:"duration" default:"20s" help:"time without progress in writing to a caller after which its work is cancelled"`
	// Memory does not limit the process itself, but what it holds for callers.
	Memory      Bytes `json:"memory" unit:"bytes" default:"2GiB" help:"memory of the host; 0.3 of it is held for callers at most: requests being read, in flight, and answers"`
	Connections int   `json:"connections" unit:"count" default:"20000" help:"open connections from callers"`
	// BalancerDelay keeps the listener open on a planned stop, because the load
	// balancer sends new connections until it has seen /readyz fail.
	BalancerDelay Duration `json:"balancer_delay" unit:"duration" default:"10s" help:"time between failing /readyz and closing the listener on a planned stop"`
}

// Authority holds the settings of leases and of work that needs a lease.
type Authority struct {
	LeaseTime Duration `json:"lease_time" unit:"duration" default:"10s" help:"lifetime of a lease without renewal; the same on all hosts"`
	Margin    Duration `json:"margin" unit:"duration" default:"2s" help:"time that a challenger waits beyond the lease time, for clocks that run at different rates"`
	// UsageWindow is the period that one usage report of a team covers.
	UsageWindow Duration `json:"usage_window" unit:"duration" default:"1m" help:"length of a usage window; the same on all hosts, and changed only while no host runs"`
}

// Log holds the settings of the process log.
type Log struct {
	Level string `json:"level" unit:"debug, info, warn, error" default:"info" help:"lowest level that is written"`
	File  string `json:"file" unit:"file name" default:"" help:"optional; standard error if empty"`
}
