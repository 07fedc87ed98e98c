package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// minTakenUp is the number of streams taken up from which their share is checked, and minGoOn the least
	// share of the rate at which new streams begin.
	minTakenUp = 12
	minGoOn    = 0.5
	// versionLine is the comment line by which servers mark events with their software version.
	versionLine = ": version "
)

// laterVersions are the versions of servers that replace others; the first ones are of the first version.
var laterVersions = []string{"v1", "v1", "v2", "v2", "v3"}

// drawVersion draws the software version of the server that runs at a slot.
func drawVersion(seed uint64, slot, incarnation int) string {
	if incarnation == 1 {
		return laterVersions[0]
	}
	rng := rand.New(rand.NewPCG(seed, uint64(slot)<<32+uint64(incarnation)))
	return laterVersions[rng.IntN(len(laterVersions))]
}

// markedPieces returns the pieces of an answer, with events that name the server's software version.
func markedPieces(id, version string, from, events int) []string {
	list := pieces(id, from, events)
	if events > 0 {
		for i, event := range list {
			list[i] = strings.Replace(event, "\n", "\n"+versionLine+version+"\n", 1)
		}
	}
	return list
}

// withoutVersions returns a body without the lines that name versions.
func withoutVersions(body string) string {
	lines := slices.DeleteFunc(strings.SplitAfter(body, "\n"), func(line string) bool { return strings.HasPrefix(line, versionLine) })
	return strings.Join(lines, "")
}

// StreamCounts counts resumable streams while servers of several software versions ran: new ones and those
// that began, tries that took one up and those that went on, each at undisrupted routers; and the streams
// with events of several versions, at all routers.
type StreamCounts struct {
	New     int `json:"new"`
	Began   int `json:"began"`
	TakenUp int `json:"taken_up"`
	WentOn  int `json:"went_on"`
	Mixed   int `json:"mixed"`
}

// versionRecord is what the oracle knows of software versions.
type versionRecord struct {
	bySlot  map[int]string
	several bool
	// serving holds the servers in use by slot, and served the versions that have served since the first start.
	serving map[int]servingVersion
	served  map[string]bool
	// byStream holds the streams that have begun, by the request that brought the first event.
	byStream map[string]*streamRecord
	counts   StreamCounts
	// releases is set in a run with releases, whose tries are counted in tries.
	releases bool
	tries    ReleaseCounts
}

func newVersionRecord() versionRecord {
	return versionRecord{bySlot: map[int]string{}, serving: map[int]servingVersion{}, served: map[string]bool{}, byStream: map[string]*streamRecord{}}
}

// Serves records the software version of the server that now runs at a slot.
func (o *Oracle) Serves(slot int, version string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.bySlot[slot] = version
	o.versions.serving[slot] = servingVersion{version, time.Now()}
	o.versions.served[version] = true
	o.versions.several = false
	for _, v := range o.versions.bySlot {
		o.versions.several = o.versions.several || v != version
	}
}

// Streams returns the counts of streams.
func (o *Oracle) Streams() StreamCounts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.counts
}

// checkVersions checks that a stream holds events of one software version, and counts those that begin and
// go on.
func (o *Oracle) checkVersions(b *requestRecord) {
	if b.Events == 0 || b.Once || b.Poison != "" {
		return
	}
	o.countStream(b)
	stream := cmp.Or(b.FirstTry, b.ID)
	s := o.versions.byStream[stream]
	if s == nil {
		s = &streamRecord{sent: b.Sent}
		o.versions.byStream[stream] = s
	}
	o.countTryOfRelease(b, s)
	before := len(s.versions)
	within := s.add(b)
	o.checked[OneVersion]++
	if len(s.versions) < 2 || before >= 2 {
		return
	}
	o.versions.counts.Mixed++
	o.violate(OneVersion, b.ID, b.answer.At, "router %d, life %d: the stream that %s began holds events of %v, this answer of %d versions; %s",
		b.Process.Router, b.Process.Incarnation, stream, s.versions, within, b.describeRuns())
}

// add adds the events of a try and returns the number of their versions.
func (s *streamRecord) add(b *requestRecord) (within int) {
	var versions []string
	for _, line := range strings.Split(b.answer.Body, "\n") {
		if version, marked := strings.CutPrefix(line, versionLine); marked && !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	for _, version := range versions {
		if !slices.Contains(s.versions, version) {
			s.versions = append(s.versions, version)
		}
	}
	if len(versions) > 0 {
		s.through = append(s.through, b.Process)
	}
	return len(versions)
}

// countStream counts a stream that began or was to go on at a router that was undisrupted.
func (o *Oracle) countStream(b *requestRecord) {
	if !o.versions.several || b.answer.Canceled || b.From > 0 && b.FirstTry == "" || !o.routerAndStoreUndisrupted(b.Process.Router, b.answer.At) {
		return
	}
	went := wentOn(b.answer)
	c := &o.versions.counts
	if b.FirstTry == "" {
		c.New++
		c.Began += toInt(went)
		return
	}
	c.TakenUp++
	c.WentOn += toInt(went)
}

func toInt(is bool) int {
	if is {
		return 1
	}
	return 0
}

// CheckStreamsGoOn checks, at the end of a run, that streams that were taken up went on.
func (o *Oracle) CheckStreamsGoOn(at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.versions.releases {
		o.checkReleases(at)
		return
	}
	c := o.versions.counts
	if c.TakenUp < minTakenUp || c.New == 0 {
		return
	}
	o.checked[StreamsGoOn] += c.TakenUp
	if float64(c.WentOn)/float64(c.TakenUp) < minGoOn*float64(c.Began)/float64(c.New) {
		o.violate(StreamsGoOn, "", at, "%d of %d streams taken up went on, %d of %d new ones began", c.WentOn, c.TakenUp, c.Began, c.New)
	}
}
