package table

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/gaplink/gaplink/result"
)

// Columns lists the CSV columns in order. The last one is the row's revision, so that
// an edited file is applied as one conditional change.
var Columns = []string{"account", "target", "site", "weight", "max_in_flight", "rate_per_second", "tokens_per_second", "priority", "revision"}

// endMark is the only field of the last line. Without it a file that was truncated
// between two lines would read as a complete table, and the missing rows would be
// deleted.
const endMark = "# end"

// RowRevision is a row with the revision of its last change.
type RowRevision struct {
	Row
	Revision int64 `json:"revision"`
}

// RowList returns all rows of a state, sorted by name.
func RowList(s *State) []RowRevision {
	var list []RowRevision
	for name, r := range s.Rows {
		list = append(list, RowRevision{Row: r, Revision: s.ObjectRevision(KindRow, name)})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name() < list[j].Name() })
	return list
}

// WriteCSV writes the rows between a header and an end mark.
func WriteCSV(w io.Writer, rows []RowRevision) error {
	out := csv.NewWriter(w)
	if err := out.Write(Columns); err != nil {
		return err
	}
	for _, r := range rows {
		if err := out.Write(r.record()); err != nil {
			return err
		}
	}
	if err := out.Write([]string{endMark}); err != nil {
		return err
	}
	out.Flush()
	return out.Error()
}

func (r RowRevision) record() []string {
	return []string{
		r.Account, r.Target, r.Site,
		strconv.Itoa(r.Weight),
		strconv.Itoa(r.MaxInFlight),
		strconv.FormatFloat(r.RatePerSecond, 'g', -1, 64),
		strconv.FormatFloat(r.TokensPerSecond, 'g', -1, 64),
		strconv.Itoa(r.Priority),
		strconv.FormatInt(r.Revision, 10),
	}
}

// ReadCSV reads rows in the format of WriteCSV. Errors name the line and the column.
func ReadCSV(r io.Reader) ([]RowRevision, error) {
	in := csv.NewReader(r)
	in.FieldsPerRecord = -1 // the line of the end mark has one field
	records, err := in.ReadAll()
	if err != nil {
		return nil, result.New(result.BadRow, "table file: %v", err)
	}
	if len(records) == 0 || strings.Join(records[0], ",") != strings.Join(Columns, ",") {
		return nil, result.New(result.BadRow, "table file: line 1 must read %s", strings.Join(Columns, ","))
	}
	last := len(records) - 1
	if !isEndMark(records[last]) {
		return nil, result.New(result.BadRow, "table file: the last line must read %q; the file may have been cut", endMark)
	}
	var rows []RowRevision
	for i, record := range records[1:last] {
		row, err := parseRecord(record)
		if err != nil {
			return nil, result.New(result.BadRow, "table file: line %d: %v", i+2, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// isEndMark reports whether a line is the end mark. Spreadsheet programs may append empty
// fields to it.
func isEndMark(record []string) bool {
	return record[0] == endMark && strings.Join(record[1:], "") == ""
}

func parseRecord(record []string) (RowRevision, error) {
	var r RowRevision
	if len(record) != len(Columns) {
		return r, fmt.Errorf("%d columns, not %d", len(record), len(Columns))
	}
	for i, column := range Columns {
		if err := r.setColumn(column, record[i]); err != nil {
			return r, err
		}
	}
	return r, nil
}

// setColumn parses text and sets the column.
func (r *RowRevision) setColumn(column, text string) error {
	var err error
	switch column {
	case "account":
		r.Account = text
	case "target":
		r.Target = text
	case "site":
		r.Site = text
	case "weight":
		r.Weight, err = strconv.Atoi(text)
	case "max_in_flight":
		r.MaxInFlight, err = strconv.Atoi(text)
	case "rate_per_second":
		r.RatePerSecond, err = strconv.ParseFloat(text, 64)
	case "tokens_per_second":
		r.TokensPerSecond, err = strconv.ParseFloat(text, 64)
	case "priority":
		r.Priority, err = strconv.Atoi(text)
	case "revision":
		r.Revision, err = strconv.ParseInt(text, 10, 64)
	default:
		return fmt.Errorf("unknown column %q; allowed: %s", column, strings.Join(Columns[3:8], ", "))
	}
	if err != nil {
		return fmt.Errorf("column %s: %q is not a number", column, text)
	}
	return nil
}

// SetColumns applies COLUMN=VALUE assignments to a row.
func SetColumns(r Row, assignments []string) (Row, error) {
	edited := RowRevision{Row: r}
	for _, a := range assignments {
		column, text, ok := strings.Cut(a, "=")
		if !ok {
			return r, result.New(result.BadRow, "%q is not COLUMN=VALUE", a)
		}
		if column == "account" || column == "target" || column == "site" || column == "revision" {
			return r, result.New(result.BadRow, "column %s names the row and cannot be set", column)
		}
		if err := edited.setColumn(column, text); err != nil {
			return r, result.New(result.BadRow, "%v", err)
		}
	}
	return edited.Row, nil
}

// ParseName parses a row's name, ACCOUNT/TARGET/SITE. The target may contain slashes.
func ParseName(name string) (Row, error) {
	parts := strings.Split(name, "/")
	if len(parts) < 3 {
		return Row{}, result.New(result.BadRow, "row %q is not ACCOUNT/TARGET/SITE", name)
	}
	last := len(parts) - 1
	return Row{Account: parts[0], Target: strings.Join(parts[1:last], "/"), Site: parts[last]}, nil
}

// DiffRows returns the edits that turn the rows shown to an operator into the edited
// rows. Each edit expects the revision that was shown.
func DiffRows(shown, edited []RowRevision) []Edit {
	before := map[string]RowRevision{}
	for _, r := range shown {
		before[r.Name()] = r
	}
	var edits []Edit
	for _, r := range edited {
		old, ok := before[r.Name()]
		delete(before, r.Name())
		if ok && old.Row == r.Row {
			continue
		}
		edits = append(edits, RowEdit(r.Row, r.Revision))
	}
	for name, old := range before {
		edits = append(edits, Edit{Kind: KindRow, Name: name, Expect: old.Revision})
	}
	sort.Slice(edits, func(i, j int) bool { return edits[i].Name < edits[j].Name })
	return edits
}

// RowEdit returns the edit that sets a row, expecting it at revision expect.
func RowEdit(r Row, expect int64) Edit {
	return NewEdit(KindRow, r.Name(), expect, r)
}

// NewEdit returns the edit that sets an object, expecting it at revision expect. It
// panics if v can't be encoded as JSON.
func NewEdit(kind Kind, name string, expect int64, v any) Edit {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err) // the configuration types always encode
	}
	return Edit{Kind: kind, Name: name, Expect: expect, Value: value}
}

func decode[T any](value json.RawMessage) (T, error) {
	var v T
	err := json.Unmarshal(value, &v)
	return v, err
}

// rowAffects reports whether the named row applies to an account and target.
func rowAffects(name, account, target string) bool {
	r, err := ParseName(name)
	return err == nil && r.Target == target && (r.Account == Any || r.Account == account)
}
