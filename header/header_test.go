package header_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/gaplink/gaplink/header"
)

// TestRetryAfter guards against malformed values that are taken for times, and against times that
// overflow.
func TestRetryAfter(t *testing.T) {
	const date = "Tue, 01 Dec 2026 12:00:00 GMT"
	for _, c := range []struct {
		date   string
		values []string
		want   time.Duration
		bad    bool
	}{
		{values: nil},
		{values: []string{"3"}, want: 3 * time.Second},
		{values: []string{" 0.25 "}, want: 250 * time.Millisecond},
		{values: []string{"0"}},
		{values: []string{"1", "2.5"}, want: 2500 * time.Millisecond},
		{values: []string{"soon", "2"}, want: 2 * time.Second},
		{values: []string{"99999999999999999999999"}, want: 24 * time.Hour},
		{values: []string{"-1"}, bad: true},
		{values: []string{""}, bad: true},
		{values: []string{"NaN"}, bad: true},
		{values: []string{"Inf"}, bad: true},
		{values: []string{"1e9"}, bad: true},
		{values: []string{"1,2"}, bad: true},
		{values: []string{"soon"}, bad: true},
		{date: date, values: []string{"Tue, 01 Dec 2026 12:00:07 GMT"}, want: 7 * time.Second},
		{date: date, values: []string{"Tue, 01 Dec 2026 11:00:00 GMT"}},
		{date: date, values: []string{"Wed, 01 Dec 2100 12:00:00 GMT"}, want: 24 * time.Hour},
		{values: []string{"Tue, 01 Dec 2020 12:00:00 GMT"}},
	} {
		h := http.Header{}
		if c.values != nil {
			h["Retry-After"] = c.values
		}
		if c.date != "" {
			h.Set("Date", c.date)
		}
		if got, err := header.RetryAfter(h); got != c.want || (err != nil) != c.bad {
			t.Errorf("%q: %s, %v", c.values, got, err)
		}
	}
}

// FuzzRetryAfter checks that every value gives a time between 0 and a day, or an error and no time.
func FuzzRetryAfter(f *testing.F) {
	for _, text := range []string{"3", "0.5", "-1", "1e400", "Tue, 01 Dec 2026 12:00:00 GMT", "99999999999999999999", ".", "\x00"} {
		f.Add(text, "Tue, 01 Dec 2026 12:00:00 GMT")
	}
	f.Fuzz(func(t *testing.T, text, date string) {
		d, err := header.RetryAfter(http.Header{"Retry-After": {text}, "Date": {date}})
		if d < 0 || d > 24*time.Hour || err != nil && d != 0 {
			t.Fatalf("%q: %s, %v", text, d, err)
		}
	})
}
