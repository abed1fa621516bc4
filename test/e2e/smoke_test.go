package e2e

import (
	"fmt"
	"os"
	"testing"
)

func TestMain(m *testing.M) { os.Exit(Main(m)) }

// Guards against programs that don't work together, and against a host that
// stops serving or loses an outcome when the other host dies.
func TestThinPath(t *testing.T) {
	t.Parallel()
	d := Start(t, Options{})
	const body = `{"boxes":3}`
	var first string
	for i, h := range d.Hosts {
		if s := h.Chat(d.Key, "how long does nougat keep", 20); !s.WaitCorrect(callerTimeout) {
			a, _ := s.Wait(0)
			t.Fatalf("%s: %+v, want %q", h.Name, a, s.Want)
		}
		a := h.Order(d.Key, "thin-1", body)
		if !a.OK() || i > 0 && a.Body != first {
			t.Fatalf("%s: %+v, want the outcome of the first host, %q", h.Name, a, first)
		}
		first = a.Body
	}
	d.Hosts[0].Kill()
	if s := d.Hosts[1].Chat(d.Key, "and after a failure", 20); !s.WaitCorrect(callerTimeout) {
		t.Fatal("the other host does not serve a chat")
	}
	if a := d.Hosts[1].Order(d.Key, "thin-1", body); a.Body != first {
		t.Fatalf("the recorded outcome was lost when its host died: %+v", a)
	}
	if a := d.Hosts[1].Order(d.Key, "thin-2", body); !a.OK() {
		t.Fatalf("the other host does not serve an order: %+v", a)
	}
	if a := d.Hosts[0].Order(d.Key, "thin-3", body); a.Status != 0 {
		t.Fatalf("the killed host answered: %+v", a)
	}
	if faults := checkAtMostOnce([]call{{Key: "thin-1", Answer: Answer{Status: 200, Body: first}}}, d.Executions()); len(faults) != 1 {
		t.Fatal(fmt.Sprint("want only the unrecorded call of thin-2: ", faults))
	}
}
