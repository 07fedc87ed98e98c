package registry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// Guards against a line about an unknown field for each registration, and against many checks when
// a large fleet of servers registers.
func TestUnknownFieldsAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, logged := newLogged()
		checks := 0
		c.SetUnknownFields(func([]byte) []string {
			checks++
			return []string{"weary", fmt.Sprint("field-", checks)}
		})
		c.Listed(registered(500, 1), newest)
		if checks != 1 {
			t.Errorf("%d of 500 registrations were checked at once", checks)
		}
		for version := range int64(60) {
			time.Sleep(time.Second)
			c.Changed(registered(1, 1000+version))
		}
		lines := logged.FilterMessageSnippet("unknown field")
		if n := lines.FilterField(zap.String("field", "weary")).Len(); n != 1 {
			t.Errorf("%d lines about a field of all registrations", n)
		}
		if lines.Len() != 32 || lines.FilterField(zap.Bool("further_ones_not_logged", true)).Len() != 1 {
			t.Errorf("%d lines about different fields", lines.Len())
		}
	})
}
