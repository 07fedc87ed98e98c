package soak_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/soak"
)

const releaseLength = 36 * time.Second

// releaseKinds counts what the releases of many seeds hold.
type releaseKinds struct {
	faults map[soak.Fault]int
	// returned are releases of an earlier version, meanwhile those of all servers while all routers are down, amid those
	// of a part of them then, and spared the kills of some routers only.
	returned, meanwhile, amid, spared int
}

// count counts the steps of a seed.
func (k *releaseKinds) count(steps []soak.Step, servers int) {
	down := map[time.Duration]time.Duration{}
	released, versions, kills := map[string]map[int]bool{}, []string{}, map[time.Duration]int{}
	for _, s := range steps {
		k.faults[s.Fault]++
		switch s.Fault {
		case soak.AllRoutersKilled:
			down[s.At] = s.At + s.Duration
		case soak.RouterKilled:
			kills[s.At]++
		case soak.ServerReleased:
			k.countRelease(s, down, released, &versions, servers)
		}
	}
	k.spared += len(kills)
}

func (k *releaseKinds) countRelease(s soak.Step, down map[time.Duration]time.Duration, released map[string]map[int]bool, versions *[]string, servers int) {
	if len(*versions) == 0 || (*versions)[len(*versions)-1] != s.Version {
		for _, earlier := range *versions {
			if earlier == s.Version {
				k.returned++
			}
		}
		*versions = append(*versions, s.Version)
		released[s.Version] = map[int]bool{}
	}
	for from, to := range down {
		if s.At < from || s.At > to {
			continue
		}
		released[s.Version][s.Target] = true
		k.amid++
		if len(released[s.Version]) == servers {
			k.meanwhile++
		}
	}
}

// Guards against a seed that draws other releases each time, and against seeds of which none has a kind of release that
// must hold.
func TestReleasesAreDrawnFromTheSeed(t *testing.T) {
	const routers, servers = 8, 6
	k := releaseKinds{faults: map[soak.Fault]int{}}
	for seed := range uint64(100) {
		steps := soak.Releases(seed, releaseLength, routers, servers)
		if !reflect.DeepEqual(steps, soak.Releases(seed, releaseLength, routers, servers)) {
			t.Fatalf("seed %d draws two lists of steps", seed)
		}
		k.count(steps, servers)
	}
	for _, fault := range []soak.Fault{
		soak.ServerReleased, soak.AllRoutersKilled, soak.RouterKilled, soak.RouterPaused, soak.RouterStopped,
		soak.StoreSlow, soak.StoreDown, soak.StoreDeaf, soak.StoreLosesAnswers,
	} {
		if k.faults[fault] == 0 {
			t.Errorf("no seed has %q", fault)
		}
	}
	if k.returned == 0 || k.meanwhile == 0 || k.amid <= k.meanwhile*servers || k.spared == 0 {
		t.Errorf("%d returns of a version, %d releases of all servers and %d of single ones while all routers are down, %d kills of some", k.returned, k.meanwhile, k.amid, k.spared)
	}
}

// Guards against steps outside the run, or for routers and servers that do not exist, and against times that are not those
// of the kind.
func TestReleasesStayWithinTheirBounds(t *testing.T) {
	for _, size := range []struct{ routers, servers int }{{1, 1}, {2, 2}, {8, 6}} {
		for seed := range uint64(50) {
			for _, s := range soak.Releases(seed, releaseLength, size.routers, size.servers) {
				switch {
				case s.At < 0 || s.At >= releaseLength,
					s.Fault == soak.ServerReleased && (s.Target >= size.servers || s.Version == ""),
					(s.Fault == soak.RouterKilled || s.Fault == soak.RouterPaused || s.Fault == soak.RouterStopped) && s.Target >= size.routers,
					(s.Fault == soak.RouterKilled || s.Fault == soak.AllRoutersKilled) && (s.Duration < time.Second || s.Duration > 3*time.Second),
					s.Fault == soak.RouterPaused && (s.Duration < 2*time.Second || s.Duration > 4*time.Second):
					t.Errorf("seed %d, %+v: %+v", seed, size, s)
				}
			}
		}
	}
}
