package origin

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
)

// maxListed bounds the versions of a service on record. Where more serve at once, no stream depends on which of them
// are missing: it is known that several do.
const maxListed = 64

// Served is which software versions of each service have served, as all routers together keep it in the store. A
// version is added before the first event of a stream at it reaches a caller, and removed once no server of it has been
// registered for Retention. So it outlives every process that has seen a version serve.
type Served struct {
	// Versions are the versions by service, sorted.
	Versions map[string][]string `json:"versions"`
	// Returns counts, by service, how often a version that was on record was seen again after a long absence. So a removal that
	// was decided before, or is on its way to the store, conflicts with the return.
	Returns map[string]int64 `json:"returns,omitempty"`
	// Incomplete is set if versions may have served that are missing: the record was created, or created anew, by
	// a router that had not watched from the first start of the fleet.
	Incomplete bool `json:"incomplete,omitempty"`
}

// errNoVersions reports a record, or a service in it, without versions: it says nothing, not that none has served.
var errNoVersions = errors.New("origin: record without versions")

// DecodeServed decodes the stored form. It fails if the value is not a valid one.
func DecodeServed(value []byte) (Served, error) {
	var s Served
	if err := json.Unmarshal(value, &s); err != nil {
		return Served{}, err
	}
	if s.Versions == nil {
		return Served{}, errNoVersions
	}
	for service, versions := range s.Versions {
		if versions == nil {
			return Served{}, errNoVersions
		}
		slices.Sort(versions)
		s.Versions[service] = slices.Compact(versions)
	}
	return s, nil
}

// Encode returns the stored form.
func (s Served) Encode() ([]byte, error) {
	if s.Versions == nil {
		s.Versions = map[string][]string{}
	}
	return json.Marshal(s)
}

// Clone returns a deep copy.
func (s Served) Clone() Served {
	c := Served{Versions: map[string][]string{}, Returns: maps.Clone(s.Returns), Incomplete: s.Incomplete}
	for service, versions := range s.Versions {
		c.Versions[service] = slices.Clone(versions)
	}
	return c
}

// Has reports whether a version of a service is on record.
func (s Served) Has(service, version string) bool {
	_, found := slices.BinarySearch(s.Versions[service], version)
	return found
}

// Covers reports whether a version of a service is on record, or need not be since there are so many others.
func (s Served) Covers(service, version string) bool {
	return len(s.Versions[service]) >= maxListed || s.Has(service, version)
}

// CountReturn counts a return of a version of a service.
func (s *Served) CountReturn(service string) {
	if s.Returns == nil {
		s.Returns = map[string]int64{}
	}
	s.Returns[service]++
}

// Add adds a version of a service, unless the record covers it, and reports whether it did.
func (s *Served) Add(service, version string) bool {
	if s.Covers(service, version) {
		return false
	}
	at, _ := slices.BinarySearch(s.Versions[service], version)
	if s.Versions == nil {
		s.Versions = map[string][]string{}
	}
	s.Versions[service] = slices.Insert(s.Versions[service], at, version)
	return true
}

// Remove removes a version of a service and reports whether it was there.
func (s *Served) Remove(service, version string) bool {
	at, found := slices.BinarySearch(s.Versions[service], version)
	if !found {
		return false
	}
	s.Versions[service] = slices.Delete(s.Versions[service], at, at+1)
	if len(s.Versions[service]) == 0 {
		delete(s.Versions, service)
	}
	return true
}
