package changelog_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/changelog"
)

// set is a replicated set of objects with its log.
type set struct {
	objects map[string]int
	log     changelog.Log[update]
}

type update struct {
	key     string
	value   int
	deleted bool
}

func newSet() *set { return &set{objects: map[string]int{}} }

func (s *set) apply(u update) {
	if u.deleted {
		delete(s.objects, u.key)
	} else {
		s.objects[u.key] = u.value
	}
	s.log.Add(u.key, u)
}

// follow brings a replica up to date from another one.
func (s *set) follow(source *set, limit int) {
	changes, ok := source.log.Since(s.log.Revision(), limit)
	if !ok {
		s.objects = maps.Clone(source.objects)
		s.log.Reset(source.log.Revision())
		return
	}
	for _, u := range changes.Values {
		s.apply(u)
	}
	s.log.Advance(changes.UpTo)
	s.log.Trim(len(s.objects))
}

// Replicas of one set follow the store or each other in any order; each must hold the state that the
// store had at the replica's revision.
func TestReplicaFollowsWhicheverSourceItTurnsTo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const replicas = 4
		states := map[int64]map[string]int{0: {}}
		origin := newSet()
		origin.log.Reset(1)
		states[1] = map[string]int{}
		all := []*set{origin}
		for range replicas {
			all = append(all, newSet())
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "change") {
				key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))
				origin.apply(update{key: key, value: step, deleted: rapid.Bool().Draw(t, "deleted")})
				origin.log.Advance(origin.log.Revision() + int64(rapid.IntRange(1, 3).Draw(t, "revisions")))
				states[origin.log.Revision()] = maps.Clone(origin.objects)
				continue
			}
			source := all[rapid.IntRange(0, replicas).Draw(t, "source")]
			replica := all[rapid.IntRange(1, replicas).Draw(t, "replica")]
			if replica == source || source.log.Revision() < replica.log.Revision() {
				continue
			}
			replica.follow(source, rapid.IntRange(1, 4).Draw(t, "most"))
			if want := states[replica.log.Revision()]; !maps.Equal(replica.objects, want) {
				t.Fatalf("at revision %d: %v, the store had %v", replica.log.Revision(), replica.objects, want)
			}
		}
	})
}

func TestChangesAreRetainedUpToTheSizeOfTheSet(t *testing.T) {
	for _, objects := range []int{10, 5000} {
		var l changelog.Log[int]
		l.Reset(1)
		for n := range 20000 {
			l.Add(fmt.Sprint(n), n)
			l.Advance(int64(n) + 2)
			l.Trim(objects)
		}
		most := max(objects, 1024)
		if got, ok := l.Since(20001-int64(most)/2, most); !ok || len(got.Values) != most/2 || got.More {
			t.Errorf("%d objects: the last %d changes: %d, held %v", objects, most/2, len(got.Values), ok)
		}
		if _, ok := l.Since(20001-2*int64(most), most); ok {
			t.Errorf("%d objects: twice as many changes are held", objects)
		}
	}
}

func TestOnlyTheLastChangeOfAnObjectIsSent(t *testing.T) {
	var l changelog.Log[string]
	if _, ok := l.Since(0, 9); ok {
		t.Error("an empty log sends changes")
	}
	l.Reset(10)
	for _, c := range []string{"a1", "b1", "a2"} {
		l.Add(c[:1], c)
	}
	l.Advance(12)
	if got, ok := l.Since(10, 9); !ok || !slices.Equal(got.Values, []string{"b1", "a2"}) {
		t.Errorf("%v, held %v", got, ok)
	}
	if got, ok := l.Since(12, 9); !ok || len(got.Values) > 0 {
		t.Errorf("%v, held %v, for a replica that has all", got, ok)
	}
	if got, ok := l.Since(99, 9); !ok || len(got.Values) > 0 {
		t.Errorf("%v, held %v, for a replica that is ahead", got, ok)
	}
	if _, ok := l.Since(9, 9); ok {
		t.Error("changes before the set was read are sent")
	}
	l.Add("c", "c1")
	if got, ok := l.Since(12, 9); !ok || len(got.Values) > 0 || l.Revision() != 12 {
		t.Errorf("%v, held %v, at %d while a change is being added", got, ok, l.Revision())
	}
	l.Advance(5)
	if l.Revision() != 12 {
		t.Errorf("an older revision lowers the log's revision: %d", l.Revision())
	}
}

// Guards against a replica that is sent only some changes of a revision and continues after that
// revision.
func TestPartOfTheChangesEndsWithARevision(t *testing.T) {
	var l changelog.Log[int]
	l.Reset(1)
	for n := range 12 {
		l.Add(fmt.Sprint(n), n)
		if n%3 == 2 {
			l.Advance(int64(n))
		}
	}
	got, ok := l.Since(1, 4)
	if !ok || !got.More || got.UpTo != 5 || len(got.Values) != 6 {
		t.Fatalf("%+v, held %v", got, ok)
	}
	l.Add("later", 99)
	l.Advance(20)
	if again, _ := l.Since(1, 4); !slices.Equal(again.Values, got.Values) || again.UpTo != got.UpTo {
		t.Errorf("%+v, and %+v before", again, got)
	}
	if rest, _ := l.Since(got.UpTo, 100); rest.More || len(rest.Values) != 7 || rest.UpTo != 20 {
		t.Errorf("%+v", rest)
	}
}
