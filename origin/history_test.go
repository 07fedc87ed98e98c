package origin_test

import (
	"slices"
	"testing"
	"time"

	"github.com/gaplink/gaplink/origin"
)

// watched is a history that is observed every second with current registrations.
type watched struct {
	*origin.History
	now time.Time
}

func newWatched() *watched { return &watched{origin.NewHistory(), time.Unix(1000, 0)} }

// observe observes versions for a time, and returns those that had returned.
func (w *watched) observe(d time.Duration, current bool, versions ...string) (returned []string) {
	for range d / time.Second {
		w.now = w.now.Add(time.Second)
		w.Watch(w.now, current)
		returned = append(returned, w.Observe(w.now, "llm", versions)...)
	}
	return returned
}

func expectServed(t *testing.T, h *origin.History, versions ...string) {
	t.Helper()
	if got := h.Served("llm"); !slices.Equal(got, versions) {
		t.Errorf("%q have served, want %q", got, versions)
	}
}

// Guards against a version that is forgotten before origin.Retention has passed without a gap, and one that never is.
func TestVersionIsForgottenOnlyAfterAWatchedAbsence(t *testing.T) {
	w := newWatched()
	w.observe(time.Second, true, "v1")
	w.observe(origin.Retention, true, "v2")
	expectServed(t, w.History, "v1", "v2")
	w.observe(time.Second, true, "v2")
	expectServed(t, w.History, "v2")
	if w.Has("llm", "v1") || !w.Has("llm", "v2") {
		t.Error("Has contradicts Served")
	}
}

// Guards against a version that is forgotten over a time in which it may have served unseen: the process stood still, or its
// registrations were not current.
func TestGapsBeginAnAbsenceAnew(t *testing.T) {
	gaps := map[string]func(*watched){
		"stands still": func(w *watched) { w.now = w.now.Add(origin.Retention) },
		"stands still and is asked first": func(w *watched) {
			w.now = w.now.Add(origin.Retention)
			w.Observe(w.now, "llm", []string{"v2"})
		},
		"not current": func(w *watched) { w.observe(origin.Retention, false, "v2") },
	}
	for name, gap := range gaps {
		t.Run(name, func(t *testing.T) {
			w := newWatched()
			w.observe(time.Second, true, "v1")
			w.observe(origin.Retention-10*time.Second, true, "v2")
			gap(w)
			w.observe(origin.Retention, true, "v2")
			expectServed(t, w.History, "v1", "v2")
			if since := w.now.Sub(w.Watched()); since > origin.Retention {
				t.Errorf("watched for %s", since)
			}
			w.observe(2*time.Second, true, "v2")
			expectServed(t, w.History, "v2")
		})
	}
}

// Guards against a version that returns after it may have been removed from the record and is taken for recorded.
func TestReturnAfterALongAbsenceIsReported(t *testing.T) {
	w := newWatched()
	if got := w.observe(time.Second, true, "v1"); !slices.Equal(got, []string{"v1"}) {
		t.Errorf("a version that was never seen: %q", got)
	}
	w.observe(origin.MaxAbsence-time.Second, true, "v2")
	if got := w.observe(time.Second, true, "v1", "v2"); len(got) > 0 {
		t.Errorf("%q after a short absence", got)
	}
	w.observe(origin.MaxAbsence+time.Second, true, "v2")
	if got := w.observe(time.Second, true, "v1", "v2"); !slices.Equal(got, []string{"v1"}) {
		t.Errorf("%q after a long absence", got)
	}
}

// Guards against a process that keeps what it knows of the record after a long time without current registrations.
func TestWatchTellsOfALongTimeWithoutRegistrations(t *testing.T) {
	w := newWatched()
	if !w.Watch(w.now, true) {
		t.Error("the first observation is a return")
	}
	w.observe(origin.MaxAbsence, false, "v1")
	if !w.Watch(w.now, true) {
		t.Error("not kept after a short time")
	}
	w.observe(origin.MaxAbsence+time.Second, false, "v1")
	if w.Watch(w.now, true) {
		t.Error("kept after a long time")
	}
	if !w.Watch(w.now, true) {
		t.Error("not kept a second time")
	}
}

// Guards against a version known from the record that counts as absent for longer than this process has watched, or whose
// absence begins anew with each read.
func TestLearnedVersionCountsAsJustSeen(t *testing.T) {
	w := newWatched()
	w.Watch(w.now, true)
	w.Learn(w.now, "llm", "v1")
	w.observe(origin.Retention-time.Second, true, "v2")
	w.Learn(w.now, "llm", "v1")
	expectServed(t, w.History, "v1", "v2")
	w.observe(2*time.Second, true, "v2")
	expectServed(t, w.History, "v2")
}

// Guards against a gap that makes a long absence short: others may have removed the version from the record meanwhile.
func TestReturnAfterAGapIsReported(t *testing.T) {
	w := newWatched()
	w.observe(time.Second, true, "v1", "v2")
	w.observe(origin.MaxAbsence, true, "v2")
	w.now = w.now.Add(origin.MaxAbsence)
	w.observe(10*time.Second, true, "v2")
	if got := w.observe(time.Second, true, "v1", "v2"); !slices.Equal(got, []string{"v1"}) {
		t.Errorf("%q have returned", got)
	}
}
