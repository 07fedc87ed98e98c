package registry

import (
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/store"
)

// unknownFieldsInterval is the minimum time between two checks of a registration for unknown
// fields. Thousands of servers register at once, usually with the same fields.
const unknownFieldsInterval = time.Second

// unknownFields logs the fields of registrations that the decoder does not know.
type unknownFields struct {
	// find returns the names of unknown fields; nil if they are not looked for.
	find   func(value []byte) []string
	checks logs.RateLimit
	names  logs.Names
}

// SetUnknownFields sets the function that finds the fields of a registration that the decoder does
// not know. Call it before the first registration is applied.
func (c *Controller) SetUnknownFields(find func(value []byte) []string) { c.unknownFields.find = find }

// check logs each unknown field once. It looks at one registration in unknownFieldsInterval.
func (u *unknownFields) check(log *zap.Logger, now time.Time, o store.Object) {
	if u.find == nil {
		return
	}
	if _, allowed := u.checks.Allow(now, unknownFieldsInterval); !allowed {
		return
	}
	for _, name := range u.find(o.Value) {
		if isNew, isLast := u.names.Add(name); isNew {
			log.Warn("unknown field in a server registration; ignoring it", zap.String("field", name), zap.String("key", o.Key), zap.Bool("further_ones_not_logged", isLast))
		}
	}
}
