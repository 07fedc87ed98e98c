package result

import (
	"fmt"
	"strings"
)

// Markdown returns the contents of docs/RESULT-CODES.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n")
	b.WriteString("Every refusal and failure carries one of these numbers, in the header `Gaplink-Code` and in the\n")
	b.WriteString("JSON body. \"Not run\" means that the request certainly did not run; the header `Gaplink-Not-Run`\n")
	b.WriteString("says so for the request at hand, and is false as soon as an earlier try of it may have run.\n")
	b.WriteString("This page is checked against `result/result.go` by a test.\n\n")
	b.WriteString("| code | name | HTTP | not run | meaning | what to do |\n|---|---|---|---|---|---|\n")
	for _, i := range Table() {
		notRun := "no"
		if i.NotRun {
			notRun = "yes"
		}
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s | %s |\n", int(i.Code), i.Name, i.HTTPStatus, notRun, i.Meaning, i.Action)
	}
	return b.String()
}
