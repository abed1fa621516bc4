package pathwatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func (w *Watch) isLost(address string) bool {
	_, lost := w.Lost(address)
	return lost
}

// TestOneLostPathIsNoCut guards against a host that takes itself for cut off because of one
// endpoint.
func TestOneLostPathIsNoCut(t *testing.T) {
	w := New()
	for i := range 5 {
		if w.PeerReached("a", NotOpened, at(100*i), at(100*i)) {
			t.Error("cut off by one endpoint")
		}
	}
	if !w.isLost("a") || w.isLost("b") {
		t.Error("the path to a is not lost, or that to b is")
	}
}

// TestPartOfEndpointsIsNoCut guards against a host that takes itself for cut off while it
// opens connections to other endpoints.
func TestPartOfEndpointsIsNoCut(t *testing.T) {
	w := New()
	for i := range 5 {
		began := at(1000 * i)
		w.Opened("z", began.Add(50*time.Millisecond))
		if w.PeerReached(fmt.Sprint("a", i), NotOpened, began, began) {
			t.Error("cut off although a connection was opened after the attempt began")
		}
	}
	if w.CutOff() || w.isLost("b") || w.LostPaths() != 5 {
		t.Errorf("cut off %v, %d paths lost", w.CutOff(), w.LostPaths())
	}
}

// TestCutAppliesToAllEndpoints guards against a host that finds each lost path by itself,
// and against connections that were idle before the cut and are used in it.
func TestCutAppliesToAllEndpoints(t *testing.T) {
	w := New()
	w.Opened("z", at(0))
	w.PeerReached("a", NotOpened, at(100), at(100))
	if !w.PeerReached("b", NotOpened, at(200), at(200)) {
		t.Fatal("not cut off")
	}
	if w.PeerReached("c", NotOpened, at(300), at(300)) {
		t.Error("the same cut begins twice")
	}
	since, lost := w.Lost("z")
	if !lost || !since.Equal(at(100)) {
		t.Errorf("z is lost: %v, since %v", lost, since)
	}
	if !w.LostAfter("z", at(150)) || w.LostAfter("z", at(250)) || !w.LostAfter("a", at(50)) {
		t.Error("a request that was sent before the cut was found does not count as hanging, or a later one does")
	}
	if w.MayUseIdle("z", at(90)) || !w.MayUseIdle("z", at(110)) {
		t.Error("a connection idle since before the cut is used, or one used since is not")
	}
}

// TestEndOfCut guards against a host that stays on the path of others, one probe after the
// other, after a cut has healed, and against one that takes all paths for sound.
func TestEndOfCut(t *testing.T) {
	w := New()
	w.Opened("z", at(0))
	w.PeerReached("before", NotOpened, at(-100), at(0))
	w.PeerReached("a", NotOpened, at(100), at(100))
	w.PeerReached("b", NotOpened, at(100), at(100))
	w.Answered("c", at(150))
	if !w.CutOff() {
		t.Error("an answer on an open connection ends a cut in which none can be opened")
	}
	if !w.Opened("a", at(200)) {
		t.Error("the end of the cut is not reported")
	}
	if w.CutOff() || w.isLost("a") || w.isLost("b") || w.isLost("c") || !w.isLost("before") {
		t.Error("after a probe of a has succeeded, only the path that was lost before the cut is to be probed")
	}
}

// TestSilenceOfSeveralEndpointsIsInDoubt guards against ejections that other hosts are told of
// because this host's paths are lost, and against ones that are kept from them.
func TestSilenceOfSeveralEndpointsIsInDoubt(t *testing.T) {
	w := New()
	w.Sent("a", at(0))
	if w.InDoubt(at(5000)) {
		t.Error("one silent endpoint is in doubt")
	}
	w.Sent("b", at(0))
	if w.InDoubt(at(99)) || !w.InDoubt(at(100)) {
		t.Error("two silent endpoints are in doubt at another time than after 100 ms")
	}
	w.Answered("c", at(200))
	if w.InDoubt(at(5000)) {
		t.Error("in doubt although an endpoint has answered")
	}
}

// TestSilentPathsNeedAnAnswer guards against a cut in which connections open and carry
// nothing, and that ends with the next one that opens.
func TestSilentPathsNeedAnAnswer(t *testing.T) {
	w := New()
	w.PeerReached("a", NotAnswered, at(0), at(0))
	w.PeerReached("b", NotAnswered, at(0), at(0))
	w.Opened("a", at(10))
	if !w.CutOff() || !w.isLost("a") {
		t.Error("an open connection ends a cut in which nothing is answered")
	}
	if !w.Answered("a", at(20)) || w.CutOff() || w.isLost("a") {
		t.Error("an answer does not end it")
	}
}

// TestCheckNeedsSeveralSilentEndpoints guards against checks of one silent endpoint, which
// may be sound, and against checks while others answer.
func TestCheckNeedsSeveralSilentEndpoints(t *testing.T) {
	w := New()
	w.Sent("a", at(0))
	if _, _, due := w.Check(at(5000)); due {
		t.Error("one silent endpoint is checked")
	}
	w.Sent("b", at(100))
	if _, _, due := w.Check(at(650)); due {
		t.Error("checked before b has been silent long enough")
	}
	address, since, due := w.Check(at(701))
	if !due || address != "a" || !since.Equal(at(0)) {
		t.Errorf("check of %q since %v, due %v", address, since, due)
	}
	if _, _, due := w.Check(at(750)); due {
		t.Error("checked again at once")
	}
	w.Answered("c", at(800))
	if _, _, due := w.Check(at(5000)); due {
		t.Error("checked although an endpoint has answered since")
	}
}

// TestProbesTakeTurns guards against probes of one endpoint only, which may be gone, and
// against more than one in each interval.
func TestProbesTakeTurns(t *testing.T) {
	w := New()
	w.PeerReached("a", NotOpened, at(0), at(0))
	w.PeerReached("b", NotAnswered, at(0), at(0))
	probed := map[string]Loss{}
	probes := 0
	for ms := 0; ms < 1000; ms += 10 {
		if address, loss, due := w.Probe(at(ms)); due {
			probed[address] = loss
			probes++
		}
	}
	if probes != 4 || probed["a"] != NotOpened || probed["b"] != NotAnswered {
		t.Errorf("%d probes in a second, %v", probes, probed)
	}
	w.Forget("a")
	w.Forget("b")
	if _, _, due := w.Probe(at(2000)); due || w.LostPaths() > 0 {
		t.Error("endpoints that are gone are probed")
	}
}

// TestCutEndsWithItsLastEndpoint guards against a cut that nothing can end, because the
// endpoints that showed it are gone.
func TestCutEndsWithItsLastEndpoint(t *testing.T) {
	w := New()
	w.PeerReached("a", NotOpened, at(0), at(0))
	w.PeerReached("b", NotOpened, at(0), at(0))
	w.Forget("a")
	if !w.CutOff() {
		t.Error("the cut ends although b can be probed")
	}
	w.Forget("b")
	if w.CutOff() {
		t.Error("the cut has no end")
	}
}

// TestHelpersOfOtherDomainsComeFirst guards against a host that asks hosts which are likely
// to be cut off with it, that cannot help, or always the same one.
func TestHelpersOfOtherDomainsComeFirst(t *testing.T) {
	hosts := []Helper{{Host: "a", Domain: "east"}, {Host: "b", Domain: "west"}, {Host: "c", Domain: "north"}, {Host: "d", Domain: "west"}}
	h, random := NewHelpers(), rand.New(rand.NewPCG(1, 2))
	first := map[string]int{}
	for range 300 {
		order := h.Order(hosts, "east", 4, random, start)
		if len(order) != 4 || order[3].Host != "a" {
			t.Fatalf("order %v", order)
		}
		first[order[0].Host]++
	}
	for _, host := range []string{"b", "c", "d"} {
		if first[host] < 60 {
			t.Errorf("%s is asked first in %d of 300 cases", host, first[host])
		}
	}
	h.Unavailable("b", start)
	h.Busy("c", start)
	if order := h.Order(hosts, "east", 1, random, at(50)); len(order) != 1 || order[0].Host != "d" {
		t.Errorf("order %v with b unavailable and c busy", order)
	}
	if order := h.Order(hosts, "east", 4, random, at(1001)); len(order) != 4 {
		t.Errorf("order %v after that", order)
	}
	h.Unavailable("a", start)
	h.Unavailable("d", start)
	if order := h.Order(hosts, "east", 3, random, at(50)); len(order) != 1 {
		t.Errorf("order %v with no host that could help lately", order)
	}
}

// TestSoundForASecond guards against a host that speaks for endpoints though it has reached
// none lately.
func TestSoundForASecond(t *testing.T) {
	w := New()
	if w.Sound(at(0)) {
		t.Error("sound before any connection")
	}
	w.Opened("a", at(0))
	if !w.Sound(at(900)) || w.Sound(at(1000)) {
		t.Error("sound for another time than a second")
	}
}
