package updates_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/controller/updates"
	"github.com/gaplink/gaplink/packed"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/store"
)

// failingCalls fails the requests for some pages of lists and counts the other pages.
type failingCalls struct {
	updates.Calls
	fails   func(page int64) bool
	asked   atomic.Int64
	pages   atomic.Int64
	largest atomic.Int64
}

func (b *failingCalls) List(ctx context.Context, addr string, req *peer.ListRequest) (*peer.ListAnswer, error) {
	if b.fails(b.asked.Add(1)) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer, err := b.Calls.List(ctx, addr, req)
	if err == nil {
		b.pages.Add(1)
		b.largest.Store(max(b.largest.Load(), int64(len(answer.Packed))))
	}
	return answer, err
}

// manyRegistrations returns n registrations as servers write them.
func manyRegistrations(n int) []store.Object {
	list := make([]store.Object, 0, n)
	for i := range n {
		list = append(list, registration(fmt.Sprintf("i-%x-%05d", uint32(i)*2654435761, i), int64(i+1)))
	}
	return list
}

// TestLongListIsReadInPages guards against a list of all servers of a large fleet that does not
// cross a small link within the timeout of a call and is requested again each time. The list comes
// in pages of bounded size, and an interrupted transfer is resumed where it stopped.
func TestLongListIsReadInPages(t *testing.T) {
	const servers, pages, tolerated = 10000, 20, 30 << 10
	for name, fails := range map[string]func(int64) bool{
		"all pages come":       func(int64) bool { return false },
		"every third is lost":  func(page int64) bool { return page%3 == 0 },
		"two of three are not": func(page int64) bool { return page%3 != 0 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPair()
				p.theirs.Listed(manyRegistrations(servers), servers)
				broken := &failingCalls{Calls: p, fails: fails}
				p.asking.Calls = broken
				go p.asking.Run(t.Context())
				for begun := time.Now(); !p.ours.Ready(); time.Sleep(10 * time.Millisecond) {
					if time.Since(begun) > 90*time.Second {
						t.Fatalf("no list after %v and %d pages", time.Since(begun), broken.pages.Load())
					}
				}
				if n := p.ours.Counts()["svc"].Up; n != servers {
					t.Errorf("%d servers", n)
				}
				if n := broken.pages.Load(); n > pages && name != "two of three are not" {
					t.Errorf("%d pages were read, the list has %d", n, pages)
				}
				if broken.largest.Load() > tolerated {
					t.Errorf("a page has %d bytes", broken.largest.Load())
				}
			})
		})
	}
}

// TestChangesDuringATransferAreReadAfterIt checks that changes made while a list is being read are
// not lost, whichever page they would have been in.
func TestChangesDuringATransferAreReadAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const servers = 3000
		p := newPair()
		all := manyRegistrations(servers)
		p.theirs.Listed(all, servers)
		slow := &failingCalls{Calls: p, fails: func(page int64) bool {
			revision := servers + 10*page
			gone, left := all[page].Key, all[servers-int(page)].Key
			p.theirs.Changed([]store.Object{{Key: gone, Version: revision, Deleted: true}, {Key: left, Version: revision + 1, Deleted: true}, registration(fmt.Sprint("new-", page), revision+2)})
			p.theirs.Advanced(revision + 2)
			time.Sleep(300 * time.Millisecond) // the pages are of different snapshots
			return false
		}}
		p.asking.Calls = slow
		go p.asking.Run(t.Context())
		time.Sleep(10 * time.Second)
		theirs, upTo := p.theirs.All()
		ours, revision := p.ours.All()
		if revision != upTo || len(ours) != len(theirs) {
			t.Fatalf("%d servers at revision %d, the other router has %d at %d", len(ours), revision, len(theirs), upTo)
		}
		for i, o := range theirs {
			if ours[i].Key != o.Key || ours[i].Version != o.Version {
				t.Fatalf("%s of version %d, the other router has %s of %d", ours[i].Key, ours[i].Version, o.Key, o.Version)
			}
		}
	})
}

// TestListRemovesRegistrationsOfLaterVersions checks that a registration that is missing from a
// list is removed also by a router that knows a later version of it than the router that read the
// list: renewals are not propagated.
func TestListRemovesRegistrationsOfLaterVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		p.theirs.Listed([]store.Object{registration("a", 1), registration("b", 2)}, 10)
		p.ours.Listed([]store.Object{registration("a", 20), registration("b", 21)}, 30)
		p.theirs.Listed([]store.Object{registration("a", 20)}, 40) // it knows b as of version 2
		go p.asking.Run(t.Context())
		time.Sleep(2 * time.Second)
		if p.ours.AcceptsRequests(placement.Incarnation{ID: "b"}) {
			t.Error("a deleted server stays in use")
		}
		if !p.ours.AcceptsRequests(placement.Incarnation{ID: "a"}) {
			t.Error("a registered server is not in use")
		}
	})
}

// TestBadListsChangeNothing checks that invalid lists leave the known state unchanged.
func TestBadListsChangeNothing(t *testing.T) {
	for name, answer := range map[string]*peer.ListAnswer{
		"not compressed":           {Revision: 50, Packed: []byte("x")},
		"promises more and has no": {Revision: 50, Packed: packedEmptyList, More: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newPair()
			p.theirs.Listed([]store.Object{registration("a", 1)}, 60)
			p.ours.Listed([]store.Object{registration("b", 1)}, 30)
			p.asking.Calls = fixedList{p, answer}
			go p.asking.Run(t.Context())
			time.Sleep(3 * time.Second)
			if !p.ours.AcceptsRequests(placement.Incarnation{ID: "b"}) || p.ours.Revision() != 30 {
				t.Errorf("%s: the list was applied, at revision %d", name, p.ours.Revision())
			}
		})
	}
}

// packedEmptyList is an empty list, compressed.
var packedEmptyList, _ = packed.Pack([]byte{0x90})

// fixedList returns the same answer to each request for a page.
type fixedList struct {
	updates.Calls
	answer *peer.ListAnswer
}

func (a fixedList) List(context.Context, string, *peer.ListRequest) (*peer.ListAnswer, error) {
	return a.answer, nil
}

// movingCalls sends the requests for updates and lists to a second router after the first page of a list.
type movingCalls struct {
	first, second updates.Calls
	pages         atomic.Int64
}

func (m *movingCalls) current() updates.Calls {
	if m.pages.Load() == 0 {
		return m.first
	}
	return m.second
}

func (m *movingCalls) Updates(ctx context.Context, addr string, req *peer.UpdatesRequest) (*peer.UpdatesAnswer, error) {
	return m.current().Updates(ctx, addr, req)
}

func (m *movingCalls) Config(ctx context.Context, addr string) (*peer.ConfigAnswer, error) {
	return m.current().Config(ctx, addr)
}

func (m *movingCalls) List(ctx context.Context, addr string, req *peer.ListRequest) (*peer.ListAnswer, error) {
	if m.pages.Add(1) == 2 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if m.pages.Load() == 1 {
		return m.first.List(ctx, addr, req)
	}
	return m.second.List(ctx, addr, req)
}

// Guards against a starting router that sends requests for ever to a server that has left, or never learns of one: the
// first page of its list comes from one router, and the others from a router that is behind it.
func TestListContinuedAtARouterThatIsBehindMissesNoChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const servers = 1000 // two pages
		all := manyRegistrations(servers)
		changed := all[0]
		for _, o := range all {
			if o.Key > changed.Key {
				changed = o // on the second page
			}
		}
		left := store.Object{Key: changed.Key, Version: servers + 1, Deleted: true}
		added := registration("zz-new", servers+2)
		ahead, behind := newPair(), newPair()
		for _, p := range []*pair{ahead, behind} {
			p.theirs.Listed(all, servers)
		}
		catchUp := func(p *pair) {
			p.theirs.Changed([]store.Object{left, added})
			p.theirs.Advanced(servers + 2)
		}
		catchUp(ahead)
		asking := ahead.asking
		moving := &movingCalls{first: ahead, second: behind}
		asking.Calls = moving
		go asking.Run(t.Context())
		time.Sleep(5 * time.Second)
		if n := moving.pages.Load(); n != 3 {
			t.Fatalf("%d pages were requested", n)
		}
		catchUp(behind)
		time.Sleep(5 * time.Second)
		if ahead.ours.AcceptsRequests(placement.Incarnation{ID: store.NameOf(left.Key)}) {
			t.Error("a server that has left stays in use")
		}
		if !ahead.ours.AcceptsRequests(placement.Incarnation{ID: "zz-new"}) {
			t.Error("a registered server is not in use")
		}
	})
}
