package slopes

import (
	"context"
	"fmt"
	"math/rand"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/configstore"
	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/standin/logd"
)

const (
	keysPerTeam = 4
	// teamsPerChange keeps a change below configstore.MaxChangeBytes.
	teamsPerChange = 1000
	// measuredChanges is the number of timed changes at each size.
	measuredChanges = 3
	// waitTimeout bounds the wait for a host's start, a change or a lease.
	waitTimeout = 30 * time.Second
	// propagationLimitSeconds bounds the time until every host applies a change.
	propagationLimitSeconds = 19
)

func configSlopes() []slope {
	return []slope{
		newSlope(sweep{"config-teams", "teams with four keys each; one host starts from the log stand-in over HTTP", TodayTeams, TargetTeams},
			[]int{8, 160, 1600, 13000}, []int{8, 80, 160}, measureConfig),
		newSlope(sweep{"config-hosts", "hosts that follow one in-memory log with 160 teams, in one process", TodayHosts, TargetHosts},
			[]int{2, 8, 16, 32, 64}, []int{2, 4, 8}, measureChangePropagation),
	}
}

// countingLog counts the appends, the appended records and bytes, and the bytes
// read.
type countingLog struct {
	logservice.Client
	appends, records, bytes, read atomic.Int64
}

func (c *countingLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	c.appends.Add(1)
	c.records.Add(int64(len(records)))
	for _, r := range records {
		c.bytes.Add(int64(len(r)))
	}
	return c.Client.Append(ctx, stream, records)
}

func (c *countingLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logservice.Page, error) {
	page, err := c.Client.Read(ctx, stream, from, limit, wait)
	for _, r := range page.Records {
		c.read.Add(int64(len(r.Data)))
	}
	return page, err
}

// teamsDocument returns the teams in [from, to) with their keys. The document
// that starts at 0 also declares the class, model, endpoint kinds and route.
func teamsDocument(from, to int) declaration.Document {
	doc := declaration.Document{}
	if from == 0 {
		doc.Classes = []declaration.Class{{Name: "chat", Share: 0.95, FirstToken: declaration.Duration(1600 * time.Millisecond)}}
		doc.Models = []declaration.Model{{Name: modelName, Version: "1"}}
		doc.EndpointKinds = []declaration.EndpointKind{{Name: "steady", HourlyCost: 4}, {Name: "cheap", Reclaimable: true, HourlyCost: 1}}
		doc.Routes = []declaration.Route{{Name: modelName, Kind: declaration.RouteModel, Model: modelName, Class: "chat", Repeatable: true}}
	}
	for i := from; i < to; i++ {
		doc.Teams = append(doc.Teams, declaration.Team{Name: teamName(i)})
		for k := range keysPerTeam {
			doc.Keys = append(doc.Keys, newKey(teamName(i), k))
		}
	}
	return doc
}

func newKey(team string, number int) declaration.Key {
	name := fmt.Sprintf("%s-key-%d", team, number)
	return declaration.Key{Name: name, Team: team, SHA256: configstore.HashKey([]byte(name)).String()}
}

// proposer proposes changes to the configuration, as an operator does.
type proposer struct {
	operator *configstore.Operator
	version  int64
	next     int
}

func newProposer(client logservice.Client) *proposer {
	p := &proposer{version: configstore.NoVersion}
	p.operator = configstore.NewOperator(client, clockwork.NewRealClock(), p.id)
	return p
}

func (p *proposer) id() string {
	p.next++
	return fmt.Sprint("change-", p.next)
}

func (p *proposer) propose(ctx context.Context, doc declaration.Document) error {
	change := configstore.NewChange(p.id(), "slopes", p.version, declaration.Diff(declaration.Document{}, doc))
	verdict, err := p.operator.Propose(ctx, change)
	if err != nil {
		return err
	}
	if !verdict.Accepted {
		return errors.Errorf("change was refused: %s", verdict.Text())
	}
	p.version = verdict.Version
	return nil
}

func (p *proposer) proposeTeams(ctx context.Context, teams int) error {
	for from := 0; from < teams; from += teamsPerChange {
		if err := p.propose(ctx, teamsDocument(from, min(from+teamsPerChange, teams))); err != nil {
			return err
		}
	}
	return nil
}

func newStore(client logservice.Client, number int) *configstore.Store {
	return configstore.New(configstore.Options{
		Log: client, Clock: clockwork.NewRealClock(), Rand: rand.New(rand.NewSource(int64(number))),
		Host: hostName(number), Nonce: hostName(number) + "/1", Domain: "domain-00", Domains: []string{"domain-00"},
		Logger: &log.Logger{Handler: discard.New()},
	})
}

// stepUntil steps the store until its view includes the version.
func stepUntil(ctx context.Context, store *configstore.Store, version int64) error {
	for store.View().Next() <= version {
		if err := store.Step(ctx, 0); err != nil {
			return err
		}
	}
	return nil
}

func isReady(store *configstore.Store) bool {
	select {
	case <-store.Ready():
		return true
	default:
		return false
	}
}

func measureConfig(ctx context.Context, teams int) ([]figure, error) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	server := logd.New(logd.Options{})
	if err := server.Listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	defer func() { _ = server.Close() }()
	operator := newProposer(server.Store())
	if err := operator.proposeTeams(ctx, teams); err != nil {
		return nil, err
	}
	client := jsonhttp.New(server.Address(), jsonhttp.Options{Timeout: waitTimeout})
	defer client.CloseIdle()
	counted := &countingLog{Client: logservice.NewHTTPClient(client)}
	before, start := liveHeap(), time.Now()
	store := newStore(counted, 1)
	for !isReady(store) {
		if err := store.Step(ctx, 0); err != nil {
			return nil, err
		}
	}
	ready := time.Since(start).Seconds()
	heap := liveHeap() - before
	state, err := store.State()
	if err != nil {
		return nil, err
	}
	changeTime, changeBytes, err := measureChanges(ctx, operator, store, counted)
	kindsTime := secondsPerCall(100, func(int) { store.View().EndpointKinds() })
	runtime.KeepAlive(store)
	const changesPerSecond = 9600.0 / (24 * 60 * 60)
	return []figure{
		{measure: "bytes of a snapshot of the state", unit: "B", value: float64(len(state))},
		{measure: "heap of fold and view", unit: "B", value: heap, budget: BudgetHeapBytes},
		{measure: "time from start to ready", unit: "s", value: ready, timed: true},
		{measure: "time to read, fold and publish one key change", unit: "s", value: changeTime, timed: true},
		{measure: "processor time of 9,600 changes a day, mean", unit: "cores", value: changeTime * changesPerSecond, budget: BudgetCoreShare, timed: true},
		{measure: "processor time of reading the declared kinds every 2 s, which the holder of endpoint orders does", unit: "cores", value: kindsTime * decisionsPerSecond, budget: BudgetCoreShare, timed: true},
		{measure: "bytes of the record of one key change", unit: "B", value: changeBytes},
	}, err
}

// measureChanges returns the shortest time to apply a change and the mean bytes
// read per change.
func measureChanges(ctx context.Context, operator *proposer, store *configstore.Store, counted *countingLog) (seconds, bytes float64, err error) {
	seconds = waitTimeout.Seconds()
	read := counted.read.Load()
	for i := range measuredChanges {
		doc := declaration.Document{Keys: []declaration.Key{newKey(teamName(0), 1000+i)}}
		if err := operator.propose(ctx, doc); err != nil {
			return 0, 0, err
		}
		start := time.Now()
		if err := stepUntil(ctx, store, operator.version); err != nil {
			return 0, 0, err
		}
		seconds = min(seconds, time.Since(start).Seconds())
	}
	return seconds, float64(counted.read.Load()-read) / measuredChanges, nil
}

// changePropagationTeams is the fixed number of teams of config-hosts.
const changePropagationTeams = 160

// measureChangePropagation measures the time from before the append of a change
// until the view of every host includes it.
func measureChangePropagation(ctx context.Context, hosts int) ([]figure, error) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	counted := &countingLog{Client: logservice.NewMemory(clockwork.NewRealClock())}
	operator := newProposer(counted)
	if err := operator.proposeTeams(ctx, changePropagationTeams); err != nil {
		return nil, err
	}
	appends := counted.appends.Load()
	stores := make([]*configstore.Store, hosts)
	for i := range stores {
		stores[i] = newStore(counted, i)
		stores[i].Start()
		defer stores[i].Close()
	}
	for _, s := range stores {
		select {
		case <-s.Ready():
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "wait until all hosts are ready")
		}
	}
	appends = counted.appends.Load() - appends
	read := counted.read.Load()
	var slowest float64
	for i := range measuredChanges {
		start := time.Now()
		if err := operator.propose(ctx, declaration.Document{Keys: []declaration.Key{newKey(teamName(0), 1000+i)}}); err != nil {
			return nil, err
		}
		if err := awaitVersion(ctx, stores, operator.version); err != nil {
			return nil, err
		}
		slowest = max(slowest, time.Since(start).Seconds())
	}
	return []figure{
		{measure: "appends for a start of all hosts", unit: "appends", value: float64(appends)},
		{measure: "bytes read from the log by all hosts for one key change", unit: "B", value: float64(counted.read.Load()-read) / measuredChanges},
		{measure: "slowest of three changes until it is in force on the last host", unit: "s", value: slowest, budget: propagationLimitSeconds, timed: true},
	}, nil
}

func awaitVersion(ctx context.Context, stores []*configstore.Store, version int64) error {
	for _, s := range stores {
		for s.View().Next() <= version {
			if err := sleep(ctx, time.Millisecond); err != nil {
				return errors.Wrap(err, "wait until all hosts apply a change")
			}
		}
	}
	return nil
}
