package configs_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/controller/configs"
)

func decode(raw []byte) (*catalog.Catalog, error) {
	c := &catalog.Catalog{}
	return c, json.Unmarshal(raw, c)
}

func controller() *configs.Controller {
	return configs.New("config/main", decode, func(*catalog.Catalog) {}, zap.NewNop())
}

// large returns a configuration with thousands of routes.
func large(version int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"Version":%d,"padding":[`, version)
	for n := range 2000 {
		fmt.Fprintf(&b, `{"name":"route-%d","hostname":"api.example","type":"streaming","timeoutMs":2000},`, n)
	}
	b.WriteString(`{}]}`)
	return b.Bytes()
}

func TestPackedConfigurationIsTakenByAnotherRouter(t *testing.T) {
	from, to := controller(), controller()
	if packed, err := from.Packed(); err != nil || packed != nil {
		t.Fatalf("a router without a configuration sends %d bytes, %v", len(packed), err)
	}
	raw := large(7)
	from.Apply(raw, "store")
	packed, err := from.Packed()
	if err != nil {
		t.Fatal(err)
	}
	if len(packed) > len(raw)/5 {
		t.Fatalf("%d bytes packed into %d", len(raw), len(packed))
	}
	if err := to.ApplyPacked(packed, "r1"); err != nil || to.Version() != 7 {
		t.Fatalf("version %d, %v", to.Version(), err)
	}
}

func TestPackedFollowsTheNewestVersion(t *testing.T) {
	from, to := controller(), controller()
	from.Apply(large(1), "store")
	if _, err := from.Packed(); err != nil {
		t.Fatal(err)
	}
	from.Apply(large(2), "store")
	packed, err := from.Packed()
	if err != nil {
		t.Fatal(err)
	}
	if err := to.ApplyPacked(packed, "r1"); err != nil || to.Version() != 2 {
		t.Fatalf("version %d, %v", to.Version(), err)
	}
}

func TestInvalidPackedConfigurationIsIgnored(t *testing.T) {
	c := controller()
	c.Apply(large(3), "store")
	if err := c.ApplyPacked([]byte("no flate"), "r1"); err == nil {
		t.Fatal("invalid data was accepted")
	}
	if c.Version() != 3 {
		t.Fatalf("version %d", c.Version())
	}
}

// Guards against accepting a truncated configuration, cut at many positions. The
// compressed format has no checksum; only its final block marks the end.
func TestTruncatedPackedConfigurationIsRejected(t *testing.T) {
	from, to := controller(), controller()
	from.Apply(large(7), "store")
	packed, err := from.Packed()
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(packed) {
		if n > 64 && n < len(packed)-64 && n%101 != 0 {
			continue
		}
		if err := to.ApplyPacked(packed[:n], "r2"); err == nil || to.Version() != 0 {
			t.Fatalf("cut at %d of %d: version %d, %v", n, len(packed), to.Version(), err)
		}
	}
	if err := to.ApplyPacked(packed, "r2"); err != nil || to.Version() != 7 {
		t.Fatalf("whole: version %d, %v", to.Version(), err)
	}
}

// Guards against a configuration that makes the decoder panic: it would end every router,
// and end each one again after its restart. The last configuration stays active.
func TestDecoderPanicDoesNotEndTheRouter(t *testing.T) {
	panicking := func(raw []byte) (*catalog.Catalog, error) {
		if string(raw) == "poison" {
			panic("a fault in reading")
		}
		return decode(raw)
	}
	c := configs.New("config/main", panicking, func(*catalog.Catalog) {}, zap.NewNop())
	c.Apply(large(3), "store")
	c.Apply([]byte("poison"), "store")
	if c.Version() != 3 {
		t.Errorf("version %d", c.Version())
	}
}
