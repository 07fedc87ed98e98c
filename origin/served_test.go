package origin_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/gaplink/gaplink/origin"
)

func TestServedIsStored(t *testing.T) {
	var s origin.Served
	for _, v := range []string{"v2", "", "v1", "v2"} {
		s.Add("llm", v)
	}
	value, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	read, err := origin.DecodeServed(value)
	if err != nil || !slices.Equal(read.Versions["llm"], []string{"", "v1", "v2"}) || read.Incomplete {
		t.Errorf("%s is read as %+v, %v", value, read, err)
	}
	if !read.Remove("llm", "") || read.Remove("llm", "") || read.Has("llm", "") || !read.Has("llm", "v1") {
		t.Errorf("after a removal: %+v", read)
	}
}

// Guards against a record that somebody else has written being taken for one that names nothing.
func TestMalformedServedIsAnError(t *testing.T) {
	for _, value := range []string{"", "null", "{}", `{"incomplete":false}`, `{"versions":null}`, `{"versions":{"llm":null}}`, "[]", "1", `"x"`, `{"versions":["v1"]}`, `{"versions":{"llm":"v1"}}`, `{"versions":{"llm":[1]}}`} {
		if s, err := origin.DecodeServed([]byte(value)); err == nil {
			t.Errorf("%s is read as %+v", value, s)
		}
	}
	s, err := origin.DecodeServed([]byte(`{"versions":{"llm":["v2","v1","v2"]},"incomplete":true}`))
	if err != nil || !slices.Equal(s.Versions["llm"], []string{"v1", "v2"}) || !s.Incomplete {
		t.Errorf("an unsorted record is read as %+v, %v", s, err)
	}
}

// Guards against a record that outgrows the store where each server has a version of its own, and against first events that
// wait for a version to be added then.
func TestServedIsBounded(t *testing.T) {
	var s origin.Served
	for n := range 10_000 {
		s.Add("llm", fmt.Sprint("v", n))
	}
	value, err := s.Encode()
	if err != nil || len(value) > 4096 {
		t.Errorf("%d bytes, %v", len(value), err)
	}
	if !s.Covers("llm", "v9999") || s.Covers("other", "v1") {
		t.Error("a version that needs not be on record is waited for, or one of another service is not")
	}
}
