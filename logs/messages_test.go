package logs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// messagesOf returns the constant log messages in the Go code below root, tests excluded.
func messagesOf(t *testing.T, root string) map[string]bool {
	t.Helper()
	logged := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if message, ok := loggedMessage(n); ok {
				logged[message] = true
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return logged
}

// loggedMessage returns the constant message of a logger call.
func loggedMessage(n ast.Node) (string, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return "", false
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	switch method.Sel.Name {
	case "Debug", "Info", "Warn", "Error":
	default:
		return "", false
	}
	text, ok := call.Args[0].(*ast.BasicLit)
	if !ok || text.Kind != token.STRING {
		return "", false
	}
	message, err := strconv.Unquote(text.Value)
	return message, err == nil
}

// renamedRow matches a row of a table of renamed messages or metrics.
var renamedRow = regexp.MustCompile(`(?m)^\| ([^|]+) \| ([^|]+) \|$`)

// Guards against an operations page that lists log messages which the code does not write, and
// against old messages that are still written.
func TestRenamedMessagesAreThoseOfTheCode(t *testing.T) {
	logged := messagesOf(t, "..")
	if len(logged) < 30 {
		t.Fatalf("only %d messages found in the code", len(logged))
	}
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range renamed(t, string(page), "### Renamed log messages") {
		if old := row[1]; logged[old] {
			t.Errorf("%q is still logged", old)
		}
		if now := row[2]; !logged[now] {
			t.Errorf("%q is not logged", now)
		}
	}
}

// renamed returns the rows of the table of old and new names below a heading, without its header row.
func renamed(t *testing.T, page, heading string) [][]string {
	t.Helper()
	_, table, found := strings.Cut(page, heading+"\n")
	if !found {
		t.Fatalf("the page has no %q", heading)
	}
	table, _, _ = strings.Cut(table, "\n##")
	rows := renamedRow.FindAllStringSubmatch(table, -1)
	if len(rows) < 2 {
		t.Fatalf("%q has %d rows", heading, len(rows))
	}
	return rows[1:]
}

// Guards against an operations page that lists metrics or labels which are not served, and against
// old ones that are still served.
func TestRenamedMetricsAreThoseOfTheCode(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	code, err := os.ReadFile("../server/metrics.go")
	if err != nil {
		t.Fatal(err)
	}
	served := func(metric string) bool {
		name, label, _ := strings.Cut(strings.Trim(metric, "`"), "{")
		if _, value, labelled := strings.Cut(label, "="); labelled {
			return strings.Contains(string(code), strings.TrimSuffix(value, "}"))
		}
		return strings.Contains(string(code), strconv.Quote(name))
	}
	for _, row := range renamed(t, string(page), "### Renamed metrics") {
		if served(row[1]) {
			t.Errorf("%s is still served", row[1])
		}
		if !served(row[2]) {
			t.Errorf("%s is not served", row[2])
		}
	}
}

// example matches a log message in an example on the page.
var example = regexp.MustCompile(`(?m)^    "([a-z][^"]*)",`)

// Guards against examples of log lines that the code does not write.
func TestExamplesAreMessagesOfTheCode(t *testing.T) {
	logged := messagesOf(t, "..")
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	examples := example.FindAllStringSubmatch(string(page), -1)
	if len(examples) < 3 {
		t.Fatalf("%d examples", len(examples))
	}
	for _, e := range examples {
		if message := e[1]; !strings.HasPrefix(message, "request ") && !logged[message] {
			t.Errorf("%q is not logged", message)
		}
	}
}
