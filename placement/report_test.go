package placement_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/placement"
)

// noon is an arbitrary time.
var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// TestLeavingProcessStaysSoThroughItsRegistrations guards against servers that get requests again
// after they announced that they are leaving: their registration lapses and returns, is outdated,
// or is replaced by one that cannot be decoded.
func TestLeavingProcessStaysSoThroughItsRegistrations(t *testing.T) {
	server := placement.Server{ID: "s00", Service: "llm", Started: 7}
	for name, events := range map[string]func(*placement.Servers){
		"registered again": func(f *placement.Servers) { f.Put(server) },
		"lapsed and back":  func(f *placement.Servers) { f.Remove(server.ID); f.Put(server) },
		"lapsed twice, forgotten reports are checked meanwhile": func(f *placement.Servers) {
			for n := range 2 {
				f.Remove(server.ID)
				f.ExpireReports(noon.Add(time.Duration(n)*time.Minute), 10*time.Minute)
				f.Put(server)
			}
		},
		"moved to another service": func(f *placement.Servers) {
			moved := server
			moved.Service = "other"
			f.Put(moved)
			f.Put(server)
		},
	} {
		f := fleet(1)
		f.Put(server)
		if !f.Leave(noon, server.Incarnation()) || f.Leave(noon, server.Incarnation()) {
			t.Fatalf("%s: the first announcement is the only one that changes something", name)
		}
		events(f)
		if _, ok := f.Pick(seeded(), placement.Query{Service: "llm"}); ok || f.MaySend(noon, server.Incarnation()) {
			t.Errorf("%s: the server gets requests", name)
		}
	}
}

// TestAnnouncementBeforeRegistrationCounts guards against announcements that are dropped since the
// registration of their process has just lapsed.
func TestAnnouncementBeforeRegistrationCounts(t *testing.T) {
	f := placement.New()
	f.Leave(noon, incarnation("s00"))
	f.Put(placement.Server{ID: "s00", Service: "llm"})
	if _, ok := f.Pick(seeded(), placement.Query{Service: "llm"}); ok {
		t.Error("the server gets requests")
	}
}

// TestReportsOfProcessesThatAreGoneExpire guards against reports that accumulate, and against
// reports that expire while their process is registered.
func TestReportsOfProcessesThatAreGoneExpire(t *testing.T) {
	f := fleet(2)
	for _, id := range []string{"s00", "s01"} {
		f.Leave(noon, incarnation(id))
	}
	f.ExpireReports(noon, time.Minute)
	f.Remove("s01")
	f.ExpireReports(noon.Add(time.Hour), time.Minute)
	f.Put(placement.Server{ID: "s01", Service: "llm"})
	if f.MaySend(noon, incarnation("s00")) || !f.MaySend(noon, incarnation("s01")) {
		t.Error("want the registered process to stay marked, and the other one to be forgotten after an hour")
	}
}

// TestDeparturesTellWhetherRegistrationsAgree guards against contradictions between responses and
// registrations that operators are not shown.
func TestDeparturesTellWhetherRegistrationsAgree(t *testing.T) {
	f := fleet(2)
	f.Leave(noon, incarnation("s00"))
	for _, saysLeaving := range []bool{false, true} {
		f.Put(placement.Server{ID: "s00", Service: "llm", Leaving: saysLeaving})
		list := f.Departures()
		if len(list) != 1 || list[0].RegisteredReady == saysLeaving || !list[0].Since.Equal(noon) {
			t.Errorf("registration says leaving: %t; departures: %+v", saysLeaving, list)
		}
	}
}
