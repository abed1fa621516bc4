package quarantine

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"go.uber.org/goleak"

	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/membership"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var discardLogger = &log.Logger{Handler: discard.New()}

func newServices(n *membership.Network, client logservice.Client) []*Service {
	var created []*Service
	for i, table := range n.Tables {
		created = append(created, New(Options{Host: n.Hosts[i].Host, Table: table, Log: client, Clock: n.Clock, Logger: discardLogger}))
	}
	return created
}

// fleet counts engines, each of which crashes when it runs the request.
type fleet struct{ crashed, left int }

func (f *fleet) run() (engine string) {
	f.crashed++
	f.left--
	return fmt.Sprintf("engine-%d", f.crashed)
}

// sendRepeatedly sends a crashing request times times through changing hosts
// while engines are left. Between two sends it runs the network for pause gossip
// intervals and until pending gossip is delivered. admit returns an error if the
// host refuses the request, or else a function to call with the engine that
// crashed. sendRepeatedly returns the number of crashes and the last error.
func sendRepeatedly(n *membership.Network, engines, times, pause int, admit func(host int) (crashed func(engine string), err error)) (crashes int, last error) {
	f := &fleet{left: engines}
	for i := range times {
		var crashed func(string)
		crashed, last = admit(i * 5 % len(n.Hosts))
		if last == nil && f.left > 0 {
			crashed(f.run())
		}
		n.Run(pause)
		n.RunBursts()
	}
	return f.crashed, last
}

func withoutQuarantine(int) (func(string), error) { return func(string) {}, nil }

func throughServices(all []*Service) func(int) (func(string), error) {
	f := FingerprintOf("team", "route", []byte("poison"))
	return func(host int) (func(string), error) {
		attempt, err := all[host].Begin(Request{Fingerprint: f})
		if err != nil {
			return nil, err
		}
		return func(engine string) { attempt.Crashed(engine, "instance-1") }, nil
	}
}

// Guards against a caller that sends a crashing request through one host after
// another and crashes an endpoint each time.
func TestCallersRepeatsThroughOtherHosts(t *testing.T) {
	const times, engines = 40, 30
	for _, pause := range []int{0, 1, 2} {
		n := membership.NewNetwork(16, 4, 1)
		n.Run(16)
		without, _ := sendRepeatedly(n, engines, times, pause, withoutQuarantine)
		with, last := sendRepeatedly(n, engines, times, pause, throughServices(newServices(n, logservice.NewMemory(n.Clock))))
		t.Logf("%d sends %d s apart: %d endpoints crashed with quarantine, %d without", times, pause, with, without)
		// A host that a crash has not reached yet may start one run beyond the
		// threshold.
		if with > crashesToQuarantine+1 || with >= without {
			t.Errorf("%d s apart: %d endpoints crashed with quarantine, %d without", pause, with, without)
		}
		if !errors.Is(last, ErrQuarantined) {
			t.Errorf("last send: got %v, want ErrQuarantined", last)
		}
	}
}

// Guards against a part of prompts that crashes an endpoint through each host, in requests
// of which no two are alike, and against the refusal of sound requests that share their
// other parts.
func TestPartOfUnlikeRequestsIsQuarantinedOnAllHosts(t *testing.T) {
	n := membership.NewNetwork(4, 2, 6)
	n.Run(16)
	all := newServices(n, logservice.NewMemory(n.Clock))
	request := func(i int, features ...Feature) Request {
		return Request{Fingerprint: FingerprintOf("team", "route", []byte(fmt.Sprint(i))), Features: features}
	}
	crashes := 0
	for i := range 12 {
		attempt, err := all[i%len(all)].Begin(request(i, shared, deadly))
		if err == nil {
			crashes++
			attempt.Crashed(fmt.Sprint("engine-", i), "1")
		}
		n.Run(12)
		sound, err := all[(i+1)%len(all)].Begin(request(100+i, shared))
		if err != nil {
			t.Fatalf("sound request %d: %v", i, err)
		}
		sound.Completed()
		n.Run(12)
	}
	if crashes != crashesToSuspect {
		t.Errorf("%d endpoints crashed, want %d", crashes, crashesToSuspect)
	}
	for i, s := range all {
		if _, err := s.Begin(request(200, deadly)); !errors.Is(err, ErrQuarantined) {
			t.Errorf("host %d: got %v, want ErrQuarantined", i, err)
		}
	}
}

// Guards against a quarantine that affects other requests or never ends.
func TestOnlyTheFingerprintAndOnlyForATime(t *testing.T) {
	n := membership.NewNetwork(4, 2, 2)
	n.Run(16)
	all := newServices(n, logservice.NewMemory(n.Clock))
	poison := FingerprintOf("team", "route", []byte("poison"))
	for i := range crashesToQuarantine {
		attempt, err := all[i].Begin(Request{Fingerprint: poison})
		if err != nil {
			t.Fatal(err)
		}
		if suspected := i > 0; attempt.Exclusive != suspected {
			t.Errorf("attempt %d: exclusive %v", i, attempt.Exclusive)
		}
		attempt.Crashed(fmt.Sprint(i), "1")
		n.Run(12)
	}
	for i, s := range all {
		if _, err := s.Begin(Request{Fingerprint: poison}); !errors.Is(err, ErrQuarantined) {
			t.Errorf("host %d: %v", i, err)
		}
		other, err := s.Begin(Request{Fingerprint: FingerprintOf("team", "route", []byte("harmless"))})
		if err != nil || other.Exclusive {
			t.Errorf("host %d: other request of the team affected: %v", i, err)
		}
	}
	n.Clock.Advance(QuarantineTTL + time.Second)
	for i, s := range all {
		if _, err := s.Begin(Request{Fingerprint: poison}); err != nil {
			t.Errorf("host %d: still refused after QuarantineTTL: %v", i, err)
		}
	}
}

// Guards against a suspected request that runs on two endpoints at once, and
// against a crash that counts once for each host that detects it.
func TestSuspectedRequestsRunOneAtATime(t *testing.T) {
	n := membership.NewNetwork(4, 1, 3)
	n.Run(16)
	all := newServices(n, logservice.NewMemory(n.Clock))
	f := FingerprintOf("team", "route", []byte("suspect"))
	for _, s := range all[:3] {
		attempt, err := s.Begin(Request{Fingerprint: f})
		if err != nil {
			t.Fatal(err)
		}
		attempt.Crashed("engine", "instance")
	}
	n.Run(8)
	first, err := all[0].Begin(Request{Fingerprint: f})
	if err != nil || !first.Exclusive {
		t.Fatalf("suspected request: %+v, %v", first, err)
	}
	n.Run(8)
	for i, s := range all {
		if _, err := s.Begin(Request{Fingerprint: f}); !errors.Is(err, ErrRunning) {
			t.Errorf("host %d: second run: got %v, want ErrRunning", i, err)
		}
	}
	first.Done()
	n.Run(8)
	if second, err := all[1].Begin(Request{Fingerprint: f}); err != nil || !second.Exclusive {
		t.Errorf("after the first run: %v", err)
	}
}

// failingLog is a log service that fails one append for each value in failures.
type failingLog struct {
	logservice.Client
	failures chan struct{}
}

func (l failingLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	select {
	case <-l.failures:
		return 0, logservice.ErrNotAppended
	default:
		return l.Client.Append(ctx, stream, records)
	}
}

// Guards against a quarantine that a starting host never learns of because the
// log service was down when the quarantine began.
func TestRecordsSurviveALogOutageAndReachAStartingHost(t *testing.T) {
	n := membership.NewNetwork(2, 1, 4)
	client := failingLog{logservice.NewMemory(n.Clock), make(chan struct{}, 1)}
	client.failures <- struct{}{}
	detecting := newServices(n, client)[0]
	detecting.Start()
	defer detecting.Close()
	f := FingerprintOf("team", "route", []byte("poison"))
	for i := range crashesToQuarantine {
		attempt, err := detecting.Begin(Request{Fingerprint: f})
		if err != nil {
			t.Fatal(err)
		}
		attempt.Crashed(fmt.Sprint(i), "1")
	}
	eventually(t, n, func() bool {
		page, err := client.Read(context.Background(), logservice.StreamQuarantine, 0, 1, 0)
		return err == nil && len(page.Records) == 1
	})
	starting := New(Options{Host: "late", Table: membership.NewNetwork(1, 1, 5).Tables[0], Log: client, Clock: n.Clock, Logger: discardLogger})
	starting.Start()
	defer starting.Close()
	eventually(t, n, func() bool {
		attempt, err := starting.Begin(Request{Fingerprint: f})
		if err == nil {
			attempt.Done()
		}
		return errors.Is(err, ErrQuarantined)
	})
}

// eventually advances the clock in small steps until check holds.
func eventually(t *testing.T, n *membership.Network, check func() bool) {
	t.Helper()
	for range 2000 {
		if check() {
			return
		}
		n.Clock.Advance(100 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	t.Fatal("condition was not met in time")
}
