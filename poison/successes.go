package poison

import "time"

const (
	// successMemory is how long a successful run speaks for the parts of its prompt at later crashes. It
	// bounds the crashes under a part that has become fatal where nothing else runs.
	successMemory = 15 * time.Second
	// contrastTime is how long other requests of a service must have succeeded without a part before its
	// own successes no longer speak for it.
	contrastTime = 3 * time.Second
	// priorStep is by how much a successful run must be later than the one known to be of interest.
	priorStep = time.Second
	// maxSuccesses bounds the parts of each of the two generations of a service.
	maxSuccesses = 2048
)

// Successes holds which parts of prompts were in successful runs of late, as one router has seen it. Servers that
// crash one after the other for another reason leave no request that succeeds, and so nothing that clears
// what all requests share: that such a part succeeded for as long as anything did then asks for more evidence. It is
// not safe for concurrent use.
type Successes struct {
	services map[string]*serviceSuccesses
}

// serviceSuccesses are the successes at one service.
type serviceSuccesses struct {
	last time.Time
	// newer holds when each part last succeeded. When it is full it becomes older, and what that held is
	// forgotten.
	newer, older map[Fingerprint]time.Time
}

// NewSuccesses returns an empty record.
func NewSuccesses() *Successes { return &Successes{services: map[string]*serviceSuccesses{}} }

// Record records a successful run of a request with parts in its prompt.
func (s *Successes) Record(now time.Time, service string, parts []Part) {
	at := s.services[service]
	if at == nil {
		at = &serviceSuccesses{newer: map[Fingerprint]time.Time{}}
		s.services[service] = at
	}
	at.last = now
	for _, p := range parts {
		at.record(now, p.Own)
		at.record(now, p.Shared)
	}
}

func (s *serviceSuccesses) record(now time.Time, f Fingerprint) {
	if _, known := s.newer[f]; !known && len(s.newer) >= maxSuccesses {
		s.newer, s.older = map[Fingerprint]time.Time{}, s.newer
	}
	s.newer[f] = now
}

// At returns the successful runs that speak for parts of prompts at a crash.
func (s *Successes) At(now time.Time, e Crash) (priors []Prior) {
	at := s.services[e.Service]
	if at == nil {
		return nil
	}
	for _, p := range e.Parts {
		for _, f := range [...]Fingerprint{p.Own, p.Shared} {
			if succeeded, ok := at.speaksFor(now, f); ok {
				priors = append(priors, Prior{Part: f, Service: e.Service, Age: now.Sub(succeeded)})
			}
		}
	}
	return priors
}

func (s *serviceSuccesses) speaksFor(now time.Time, f Fingerprint) (succeeded time.Time, ok bool) {
	succeeded, ok = s.newer[f]
	if !ok {
		succeeded, ok = s.older[f]
	}
	return succeeded, ok && now.Sub(succeeded) <= successMemory && s.last.Sub(succeeded) <= contrastTime
}
