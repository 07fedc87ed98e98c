package poison_test

import (
	"testing"

	"github.com/gaplink/gaplink/poison"
)

func identity() poison.Identity {
	return poison.Identity{Account: "acme", Method: "POST", Host: "api", Target: "/x/y?q=1", Body: []byte("body")}
}

// Guards against requests that share a fingerprint because a part or a part boundary is not
// covered.
func TestFingerprintCoversEachPart(t *testing.T) {
	changes := map[string]func(*poison.Identity){
		"account":  func(id *poison.Identity) { id.Account = "other" },
		"method":   func(id *poison.Identity) { id.Method = "PUT" },
		"host":     func(id *poison.Identity) { id.Host = "api2" },
		"path":     func(id *poison.Identity) { id.Target = "/x/z?q=1" },
		"query":    func(id *poison.Identity) { id.Target = "/x/y?q=2" },
		"body":     func(id *poison.Identity) { id.Body = []byte("bodY") },
		"boundary": func(id *poison.Identity) { id.Target, id.Body = "/x/y?q=1b", []byte("ody") },
	}
	for name, change := range changes {
		other := identity()
		change(&other)
		if other.Fingerprint() == identity().Fingerprint() {
			t.Errorf("a different %s gives the same fingerprint", name)
		}
	}
	if one, again := identity().Fingerprint(), identity().Fingerprint(); one != again {
		t.Error("two attempts of one request have different fingerprints")
	}
}

func TestParse(t *testing.T) {
	f := identity().Fingerprint()
	if got, err := poison.Parse(f.String()); err != nil || got != f {
		t.Errorf("%v %v", got, err)
	}
	for _, bad := range []string{"", "zz", f.String()[2:], f.String() + "00"} {
		if _, err := poison.Parse(bad); err == nil {
			t.Errorf("Parse accepts %q", bad)
		}
	}
}
