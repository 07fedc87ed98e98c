package result_test

import (
	"errors"
	"os"
	"testing"

	"github.com/gaplink/gaplink/result"
)

// TestPageMatchesTable checks that docs/RESULT-CODES.md matches the table of codes.
func TestPageMatchesTable(t *testing.T) {
	const page = "../docs/RESULT-CODES.md"
	have, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if string(have) != result.Markdown() {
		t.Fatalf("%s differs from the table of result codes", page)
	}
}

func TestCodesAreUniqueAndDescribed(t *testing.T) {
	seen := map[result.Code]bool{}
	for _, i := range result.Table() {
		if seen[i.Code] || i.Name == "" || i.Meaning == "" || i.Action == "" || i.HTTPStatus == 0 {
			t.Errorf("code %d is doubled or not described", i.Code)
		}
		seen[i.Code] = true
	}
}

func TestErrorWithoutCodeIsInternal(t *testing.T) {
	if got := result.From(errors.New("x")).Code; got != result.Internal {
		t.Fatalf("got %v", got)
	}
}
