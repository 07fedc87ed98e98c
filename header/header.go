// Package header parses values of standard HTTP headers.
package header

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRetryAfter is the longest time that is read from a Retry-After header.
const maxRetryAfter = 24 * time.Hour

var (
	// errNotDecimal reports a value that is not a non-negative decimal number.
	errNotDecimal = errors.New("header: not a non-negative decimal number")
	// errRetryAfter reports a Retry-After that is neither a number of seconds nor a date.
	errRetryAfter = errors.New("header: malformed Retry-After")
)

// Decimal parses a non-negative decimal number without an exponent.
func Decimal(text string) (float64, error) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, fmt.Errorf("%w: %.40q", errNotDecimal, text)
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(n, 0) {
		return 0, fmt.Errorf("%w: %.40q", errNotDecimal, text)
	}
	return n, nil
}

// RetryAfter returns the time in the Retry-After header of a response, which is in seconds,
// fractions included, or an HTTP date. Among several values the longest time applies; 0 means that
// there is none. An error is returned only if no value gives a time.
func RetryAfter(h http.Header) (longest time.Duration, err error) {
	for _, text := range h.Values("Retry-After") {
		d, ok := parseDelay(strings.TrimSpace(text), h)
		if !ok {
			err = fmt.Errorf("%w: %.40q", errRetryAfter, text)
		}
		longest = max(longest, d)
	}
	if longest > 0 {
		return longest, nil
	}
	return 0, err
}

// parseDelay parses one value of Retry-After. A date counts from the Date header of the response
// if it has one, since the server's clock may differ from the local one.
func parseDelay(text string, h http.Header) (d time.Duration, ok bool) {
	if seconds, err := Decimal(text); err == nil {
		return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)), true
	}
	at, err := http.ParseTime(text)
	if err != nil {
		return 0, false
	}
	now, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		now = time.Now() // without a Date the local wall clock is the only reference
	}
	return min(max(at.Sub(now), 0), maxRetryAfter), true
}
