package rawjson_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/gaplink/gaplink/rawjson"
)

func reader(text string) *rawjson.Reader { return rawjson.NewReader(strings.NewReader(text)) }

// values returns the elements of an array as they stand in the text.
func values(r *rawjson.Reader, limit int) (all []string, err error) {
	err = r.Elements(func() error {
		text, err := r.Value(limit)
		if errors.Is(err, rawjson.ErrTooLong) {
			text, err = []byte("(too long)"), nil
		}
		all = append(all, string(text))
		return err
	})
	if err == nil {
		err = r.End()
	}
	return all, err
}

func TestValuesAreReadAsTheyStand(t *testing.T) {
	elements := []string{`1`, `-1e999`, `"a\"]"`, `"\\"`, `{"a":[1,{"b":"}"}],"c":null}`, `[]`, `{}`, `null`, `tru`, `[1 2]`, `{"a" 1}`,
		strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), strings.Repeat(`{"a":[`, 20_000) + strings.Repeat("]}", 20_000)}
	for _, separator := range []string{",", " ,\n\t", "\r\n,"} {
		text := " [ " + strings.Join(elements, separator) + " ] \n"
		for name, in := range map[string]io.Reader{"whole": strings.NewReader(text), "by bytes": iotest.OneByteReader(strings.NewReader(text))} {
			all, err := values(rawjson.NewReader(in), 1<<20)
			if err != nil || !slices.Equal(all, elements) {
				t.Errorf("%s, %q: %.200q, %v", name, separator, all, err)
			}
		}
	}
}

func TestValueBeyondTheLimitIsSkipped(t *testing.T) {
	all, err := values(reader(`["12","123",{"a":1},[[[[]]]],1234,12345,"x"]`), 4)
	if want := []string{`"12"`, "(too long)", "(too long)", "(too long)", "1234", "(too long)", `"x"`}; err != nil || !slices.Equal(all, want) {
		t.Errorf("%q, %v", all, err)
	}
}

func TestFields(t *testing.T) {
	names := map[string]string{}
	r := reader(`{"a":1,"b":{"c":[2]},"a":3,"\u0064":4,"` + strings.Repeat("n", 5000) + `":5,"\x":6}`)
	err := r.Fields(func(name string) error {
		text, err := r.Value(100)
		names[name] += string(text) + ";"
		return err
	})
	if err != nil || names["a"] != "1;3;" || names["b"] != `{"c":[2]};` || names["d"] != "4;" || names[""] != "5;6;" || len(names) != 4 {
		t.Errorf("%v, %v", names, err)
	}
}

func TestMalformedDocuments(t *testing.T) {
	for _, text := range []string{``, ` `, `[`, `[1`, `[1,`, `[1,]`, `[,]`, `[,1]`, `[1 2]`, `[1}`, `[{]}`, `["a]`, `["a\"]`, `["a\`, `[]]`, `[]x`, `[:]`, `{}`, `1`, `[1]1`, `["a""b"]`,
		`[[}]`, strings.Repeat("[", 100_000)} {
		if all, err := values(reader(text), 100); !errors.Is(err, rawjson.ErrSyntax) {
			t.Errorf("%.20q: %q, %v", text, all, err)
		}
	}
	for _, text := range []string{`{"a"}`, `{"a":}`, `{"a":1,}`, `{1:2}`, `{"a":1 "b":2}`, `{"a"`, `{"a":`, `{"a":1`, `{a:1}`, `{"a":1]`, `[]`} {
		r := reader(text)
		if err := r.Fields(func(string) error { return r.Skip() }); !errors.Is(err, rawjson.ErrSyntax) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Guards against a failed read that is taken for the end of the document.
func TestFailedReadIsReported(t *testing.T) {
	text := `[1,"a",{"b":[2]},345]`
	broken := errors.New("broken")
	for n := range len(text) + 1 {
		in := io.MultiReader(strings.NewReader(text[:n]), iotest.ErrReader(broken))
		if _, err := values(rawjson.NewReader(in), 100); !errors.Is(err, broken) {
			t.Errorf("%q: %v", text[:n], err)
		}
		if _, err := values(reader(text[:n]), 100); (err == nil) != (n == len(text)) {
			t.Errorf("%q: %v", text[:n], err)
		}
	}
}

// FuzzElements compares the bounds of values with those that encoding/json finds, and checks that no
// text makes a reader panic.
func FuzzElements(f *testing.F) {
	for _, seed := range []string{`[]`, `[1,2]`, ` [ {"a":[1,2,{"b":"]"}]} , "\"" ] `, `[[[]],{}]`, `[1e5,-0.1,true,null,""]`, `[`, `[}]`, `["\ud800"]`, "[\"\xff\"]", `[1]1`, `[,]`, `["\\"]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var want []json.RawMessage
		wantErr := json.Unmarshal(text, &want)
		all, err := values(rawjson.NewReader(bytes.NewReader(text)), len(text))
		if wantErr != nil || want == nil {
			return // encoding/json is stricter
		}
		if err != nil || len(all) != len(want) {
			t.Fatalf("%q, %v; want %q", all, err, want)
		}
		for i, value := range all {
			if value != string(want[i]) {
				t.Errorf("%q instead of %q", value, want[i])
			}
		}
	})
}
