package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gaplink/gaplink/membership"
)

func view(n int) *membership.View {
	v := membership.NewView(membership.Member{ID: "r0", Kind: "router", State: membership.Live})
	v.SetList(list(n))
	return v
}

func list(n int) []membership.Member {
	var l []membership.Member
	for i := range n {
		l = append(l, membership.Member{ID: fmt.Sprint("r", i), Kind: "router", State: membership.Live})
	}
	return l
}

func TestFirstIsTheBestOfRank(t *testing.T) {
	now := time.Unix(1, 0)
	v := view(9)
	for i := range 50 {
		role := fmt.Sprint("role", i)
		if v.First(now, role) != v.Rank(now, role)[0] {
			t.Fatalf("%s: First and Rank differ", role)
		}
	}
}

func TestSuspicionExpiresAndMovesFewRoles(t *testing.T) {
	now := time.Unix(1, 0)
	v, whole := view(9), view(9)
	v.ReportFailure(now, "r3")
	for i := range 100 {
		role := fmt.Sprint("role", i)
		before := whole.First(now, role)
		if before != "r3" && v.First(now, role) != before {
			t.Fatalf("%s moved although its router is not suspected", role)
		}
		if v.First(now, role) == "r3" {
			t.Fatalf("%s stays with a suspected router", role)
		}
		if v.First(now.Add(time.Minute), role) != before {
			t.Fatalf("%s did not come back", role)
		}
	}
}

func TestStaleLiveDoesNotOverrideLeaving(t *testing.T) {
	now := time.Unix(1, 0)
	v := view(3)
	v.SetLeaving("r1")
	v.SetList(list(3)) // a stale list that still reports r1 as live
	for _, id := range v.Rank(now, "x") {
		if id == "r1" {
			t.Fatal("a leaving router is ranked")
		}
	}
	v.SetList(list(1))
	v.SetList(list(3)) // r1 was removed and has returned
	if len(v.Rank(now, "x")) != 3 {
		t.Fatal("a router that came back is not ranked")
	}
}

// Guards against a cached order of Largest that is stale after a change of the list, differs from
// Precedes, or changes for the other members when one is suspected.
func TestLargestFollowsTheList(t *testing.T) {
	now := time.Unix(1, 0)
	v := view(9)
	order := func() (ids []string) {
		for m := range v.Largest(now, "role") {
			ids = append(ids, m.ID)
		}
		return ids
	}
	whole := order()
	v.ReportFailure(now, whole[0])
	if got := order(); !slices.Equal(got, whole[1:]) {
		t.Errorf("%v with the first of %v suspected", got, whole)
	}
	v.ReportSuccess(whole[0])
	v.Remove(whole[3])
	v.Add(membership.Member{ID: "wide", Kind: "router", Domain: "far", State: membership.Live, LinkMbps: 1000})
	got := order()
	if got[0] != "wide" || len(got) != 9 || slices.Contains(got, whole[3]) {
		t.Errorf("%v after a member was removed and one with a large link added", got)
	}
	if !v.Precedes("role", got[1], got[2]) || v.Precedes("role", got[2], got[1]) || v.Precedes("role", "unknown", got[2]) {
		t.Error("Precedes differs from the order")
	}
	if v.Live(now) != 9 || v.DomainSize("far") != 1 || !slices.Equal(v.Domains(), []string{"", "far"}) {
		t.Errorf("%d live, %d in the far domain, domains %q", v.Live(now), v.DomainSize("far"), v.Domains())
	}
	v.SetIncarnation(got[1], "p1")
	v.Add(membership.Member{ID: got[1], Kind: "router", State: membership.Live})
	if m, _ := v.Member(got[1]); m.Incarnation != "p1" {
		t.Error("the registration of a member cleared its incarnation")
	}
}

// Guards against routers that disagree on owners because they suspect different members.
func TestOwnersIgnoreSuspicion(t *testing.T) {
	now := time.Unix(1, 0)
	v, whole := view(9), view(9)
	first := whole.Owners("role", 3)
	v.ReportFailure(now, first[0])
	if got := v.Owners("role", 3); !slices.Equal(got, first) {
		t.Errorf("%v, and %v where one is suspected", first, got)
	}
	if all := whole.Owners("role", 20); len(all) != 9 || !slices.Equal(all[:3], first) {
		t.Errorf("all: %v, first: %v", all, first)
	}
	v.SetLeaving(first[0])
	if got := v.Owners("role", 2); !slices.Equal(got, first[1:]) {
		t.Errorf("%v, and %v after the first has left", first, got)
	}
	v.Add(membership.Member{ID: "wide", Kind: "router", State: membership.Live, LinkMbps: 1000})
	if got := v.Owners("role", 1); got[0] != "wide" {
		t.Errorf("%v is ranked before the member with the largest link", got)
	}
}
