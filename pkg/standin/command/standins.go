package command

import (
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/standin/engined"
	"github.com/clementineshed/clementineshed/pkg/standin/faultproxy"
	"github.com/clementineshed/clementineshed/pkg/standin/logd"
	"github.com/clementineshed/clementineshed/pkg/standin/orderd"
	"github.com/clementineshed/clementineshed/pkg/standin/platformd"
)

func durationFlag(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage}
}

func intFlag(name string, value int, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage}
}

func floatFlag(name string, value float64, usage string) cli.Flag {
	return &cli.FloatFlag{Name: name, Value: value, Usage: usage}
}

func stringFlag(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage}
}

func logFlags() []cli.Flag {
	return []cli.Flag{
		durationFlag("retention", logd.DefaultRetention, "how long a record is kept"),
		intFlag("appends-per-second", logd.DefaultAppendsPerSecond, "limit for all clients together"),
	}
}

func startLog(cmd *cli.Command, logger log.Interface) (standin, error) {
	s := logd.New(logd.Options{
		Retention:        cmd.Duration("retention"),
		AppendsPerSecond: cmd.Int("appends-per-second"),
		Log:              logger,
	})
	return s, s.Listen(cmd.String("address"))
}

func orderFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("prefix", orderd.DefaultPrefix, "path prefix with slashes at both ends"),
		durationFlag("delay", 0, "time that a call waits before it takes effect"),
		durationFlag("down-for", time.Second, "how long connections are reset after a crash"),
	}
}

func startOrderService(cmd *cli.Command, logger log.Interface) (standin, error) {
	s := orderd.New(orderd.Options{
		Prefix:  cmd.String("prefix"),
		Delay:   cmd.Duration("delay"),
		DownFor: cmd.Duration("down-for"),
		Log:     logger,
	})
	return s, s.Listen(cmd.String("address"))
}

func engineFlags() []cli.Flag {
	return append([]cli.Flag{
		stringFlag("id", "engine", "endpoint id"),
		stringFlag("model", "tasting-llm", "model that is loaded"),
		stringFlag("version", "1", "version that is loaded"),
		stringFlag("role", string(endpoint.RoleMixed), "mixed, prefill or decode"),
	}, engineBehaviorFlags()...)
}

// engineBehaviorFlags returns the engine flags that the platform stand-in takes
// as well, for the engines that it starts.
func engineBehaviorFlags() []cli.Flag {
	return []cli.Flag{
		floatFlag("prefill-rate", engined.DefaultPrefillRate, "prompt tokens a second"),
		floatFlag("decode-rate", engined.DefaultDecodeRate, "output tokens a second of all streams"),
		floatFlag("stream-rate", engined.DefaultStreamRate, "output tokens a second of one stream"),
		floatFlag("kv-transfer-rate", engined.DefaultKVTransferRate, "prompt tokens a second whose KV cache is exported"),
		intFlag("max-batch", engined.DefaultMaxBatch, "requests that run at once"),
		intFlag("kv-tokens", engined.DefaultKVTokens, "KV memory in tokens"),
		durationFlag("load-lag", engined.DefaultLoadLag, "lag of load reports"),
		durationFlag("cache-event-delay", engined.DefaultCacheEventDelay, "lag of cache events"),
		intFlag("cache-event-gap-every", 0, "leave every n-th cache event unpublished"),
		durationFlag("role-change-time", engined.DefaultChangeTime, "time that a role change takes"),
		durationFlag("load-time", engined.DefaultChangeTime, "time that loading a model takes"),
		durationFlag("down-time", engined.DefaultDownTime, "how long the engine is down after a crash"),
		stringFlag("software-version", "", "version of the engine's software, which the platform announces"),
		stringFlag("crash-marker", "", "text in a prompt that crashes the engine"),
		&cli.BoolFlag{Name: "checks-fencing", Usage: "refuse old fencing tokens"},
		&cli.BoolFlag{Name: "hides-holders", Usage: "do not report order connections"},
	}
}

func engineOptions(cmd *cli.Command, logger log.Interface) engined.Options {
	return engined.Options{
		PrefillRate:           cmd.Float("prefill-rate"),
		DecodeRate:            cmd.Float("decode-rate"),
		StreamRate:            cmd.Float("stream-rate"),
		KVTransferRate:        cmd.Float("kv-transfer-rate"),
		MaxBatch:              cmd.Int("max-batch"),
		KVTokens:              cmd.Int("kv-tokens"),
		LoadLag:               cmd.Duration("load-lag"),
		CacheEventDelay:       cmd.Duration("cache-event-delay"),
		DropCacheEventEvery:   cmd.Int("cache-event-gap-every"),
		RoleChangeTime:        cmd.Duration("role-change-time"),
		LoadTime:              cmd.Duration("load-time"),
		DownTime:              cmd.Duration("down-time"),
		SoftwareVersion:       cmd.String("software-version"),
		CrashMarker:           cmd.String("crash-marker"),
		ChecksFencing:         cmd.Bool("checks-fencing"),
		Log:                   logger,
		HidesOrderConnections: cmd.Bool("hides-holders"),
	}
}

func startEngine(cmd *cli.Command, logger log.Interface) (standin, error) {
	opts := engineOptions(cmd, logger)
	opts.ID = cmd.String("id")
	opts.Model = cmd.String("model")
	opts.Version = cmd.String("version")
	opts.Role = endpoint.Role(cmd.String("role"))
	switch opts.Role {
	case endpoint.RoleMixed, endpoint.RolePrefill, endpoint.RoleDecode:
	default:
		return nil, errors.Errorf("role: %q is not mixed, prefill or decode", opts.Role)
	}
	s := engined.New(opts)
	return s, s.Listen(cmd.String("address"))
}

func platformFlags() []cli.Flag {
	return append([]cli.Flag{
		durationFlag("host-list-lag", platformd.DefaultHostListLag, "lag of the host list"),
		durationFlag("provision-delay", platformd.DefaultProvisionDelay, "time from an order to a live endpoint"),
		durationFlag("release-delay", platformd.DefaultReleaseDelay, "time from a release to the endpoint's end"),
		durationFlag("reclaim-notice", platformd.DefaultReclaimNotice, "time from a reclaim notice to the endpoint's end"),
		floatFlag("weights-per-second", platformd.DefaultWeightsPerSecond, "limit of the weight store"),
		stringFlag("engine-ip", "127.0.0.1", "IP address of engines that are started in this process"),
	}, engineBehaviorFlags()...)
}

func startPlatform(cmd *cli.Command, logger log.Interface) (standin, error) {
	host := &platformd.EngineHost{IP: cmd.String("engine-ip"), Options: engineOptions(cmd, logger)}
	s := platformd.New(platformd.Options{
		HostListLag:      cmd.Duration("host-list-lag"),
		ProvisionDelay:   cmd.Duration("provision-delay"),
		ReleaseDelay:     cmd.Duration("release-delay"),
		ReclaimNotice:    cmd.Duration("reclaim-notice"),
		WeightsPerSecond: cmd.Float("weights-per-second"),
		Start:            host.Start,
		Log:              logger,
	})
	host.Platform = s
	return s, s.Listen(cmd.String("address"))
}

func proxyFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("target", "", "`IP:PORT` to forward to"),
		stringFlag("control-address", "127.0.0.1:0", "`IP:PORT` of the control endpoint"),
		&cli.BoolFlag{Name: "udp", Usage: "forward datagrams instead of connections"},
	}
}

// proxyWithControl is a fault proxy with its control endpoint.
type proxyWithControl struct {
	proxy   standin
	control *faultproxy.Control
}

// Close closes both. If both fail, it returns the error of the proxy.
func (p proxyWithControl) Close() error {
	err := p.control.Close()
	if proxyErr := p.proxy.Close(); proxyErr != nil {
		return proxyErr
	}
	return err
}

func startProxy(cmd *cli.Command, logger log.Interface) (standin, error) {
	if cmd.String("target") == "" {
		return nil, errors.New("target is required")
	}
	var proxy interface {
		standin
		faultproxy.Proxy
	}
	var err error
	if cmd.Bool("udp") {
		proxy, err = faultproxy.ListenUDP(cmd.String("address"), cmd.String("target"))
	} else {
		proxy, err = faultproxy.ListenTCP(cmd.String("address"), cmd.String("target"))
	}
	if err != nil {
		return nil, err
	}
	control := faultproxy.NewControl(proxy, logger)
	if err := control.Listen(cmd.String("control-address")); err != nil {
		_ = proxy.Close()
		return nil, err
	}
	return proxyWithControl{proxy, control}, nil
}
