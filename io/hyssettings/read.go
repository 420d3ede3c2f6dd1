package hyssettings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is one problem in a settings file.
type Problem struct {
	// Line is the line number of the field, 0 for a missing field.
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String returns the line if there is one, the field and the message.
func (p Problem) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.Field, p.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Field, p.Message)
}

// problems collects the problems of one file.
type problems struct {
	list []Problem
	// lines holds the line number of each field that is in the file.
	lines map[string]int
	// invalid holds the fields whose value has the wrong type.
	invalid map[string]bool
}

// add records a problem of a field, unless its value has the wrong type, which has
// been recorded already.
func (p *problems) add(field, format string, args ...any) {
	if p.invalid[field] {
		return
	}
	p.list = append(p.list, Problem{Line: p.lines[field], Field: field, Message: fmt.Sprintf(format, args...)})
}

func (p *problems) given(field string) bool { return p.lines[field] > 0 }

// read parses a settings file and returns every problem found, sorted by line.
func read(data []byte) (Settings, []Problem) {
	var s Settings
	p := &problems{lines: make(map[string]int), invalid: make(map[string]bool)}
	root, err := hujson.Parse(data)
	if err != nil {
		return s, []Problem{syntaxProblem(err)}
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		return s, []Problem{{Line: lineAt(data, root.StartOffset), Field: "file", Message: "must hold one object, { ... }"}}
	}
	p.readObject(data, object, "", s.fields())
	s.validate(p)
	s.Defaults()
	slices.SortStableFunc(p.list, func(a, b Problem) int { return a.Line - b.Line })
	return s, p.list
}

// syntaxProblem converts an error of the parser, with the line that it names.
func syntaxProblem(err error) Problem {
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	problem := Problem{Field: "file", Message: "not JSON with comments: " + message}
	// The parser's errors begin with "line L, column C: ".
	if _, scanErr := fmt.Sscanf(message, "line %d,", &problem.Line); scanErr != nil {
		problem.Line = 1
	}
	return problem
}

func lineAt(data []byte, offset int) int {
	return 1 + strings.Count(string(data[:offset]), "\n")
}

// field describes a field of the file: its name, the kind of its value, and the
// variable to store the value in (for an object, its fields).
type field struct {
	name  string
	kind  string
	value any
}

// Kinds of values, as they are named in messages.
const (
	kindText    = "a string"
	kindNumber  = "a whole number"
	kindBoolean = "true or false"
	kindObject  = "an object"
)

func (s *Settings) fields() []field {
	return []field{
		{"instance", kindText, &s.Instance},
		{"zone", kindText, &s.Zone},
		{"region", kindText, &s.Region},
		{"caller-address", kindText, &s.CallerAddress},
		{"peer-address", kindText, &s.PeerAddress},
		{"operator-address", kindText, &s.OperatorAddress},
		{"store-address", kindText, &s.StoreAddress},
		{"peer-secret", kindText, &s.PeerSecret},
		{"peer-secret-file", kindText, &s.PeerSecretFile},
		{"operator-secret", kindText, &s.OperatorSecret},
		{"operator-secret-file", kindText, &s.OperatorSecretFile},
		{"concurrent-requests", kindNumber, &s.ConcurrentRequests},
		{"connections", kindNumber, &s.Connections},
		{"connection-cap", kindNumber, &s.ConnectionCap},
		{"max-header-bytes", kindNumber, &s.MaxHeaderBytes},
		{"read-timeout-ms", kindNumber, &s.ReadTimeout},
		{"idle-timeout-ms", kindNumber, &s.IdleTimeout},
		{"write-timeout-ms", kindNumber, &s.WriteTimeout},
		{"drain-ms", kindNumber, &s.Drain},
		{"baseline", kindObject, s.Baseline.fields()},
	}
}

func (b *Baseline) fields() []field {
	return []field{
		{"direct-fan-out", kindBoolean, &b.DirectFanOut},
		{"no-hedging", kindBoolean, &b.NoHedging},
		{"no-admission", kindBoolean, &b.NoAdmission},
		{"first-in-first-out", kindBoolean, &b.FirstInFirstOut},
	}
}

// readObject reads the members of an object. The prefix is that of the names of
// nested fields in messages.
func (p *problems) readObject(data []byte, object *hujson.Object, prefix string, fields []field) {
	for i := range object.Members {
		m := &object.Members[i]
		name := prefix + m.Name.Value.(hujson.Literal).String()
		if name == "" {
			name = `""`
		}
		line := lineAt(data, m.Name.StartOffset)
		if first := p.lines[name]; first > 0 {
			p.list = append(p.list, Problem{Line: line, Field: name, Message: fmt.Sprintf("is given twice, first in line %d", first)})
			continue
		}
		p.lines[name] = line
		index := slices.IndexFunc(fields, func(f field) bool { return prefix+f.name == name })
		if index < 0 {
			p.add(name, "unknown field; allowed are %s", fieldNames(fields))
			continue
		}
		p.readValue(data, m.Value, name, fields[index])
	}
}

func (p *problems) readValue(data []byte, value hujson.Value, name string, f field) {
	if nested, ok := f.value.([]field); ok {
		object, ok := value.Value.(*hujson.Object)
		if !ok {
			p.add(name, "must be %s", f.kind)
			return
		}
		p.readObject(data, object, name+".", nested)
		return
	}
	text := value.Clone()
	text.Standardize()
	packed := bytes.TrimSpace(text.Pack())
	if string(packed) == "null" || json.Unmarshal(packed, f.value) != nil {
		p.add(name, "must be %s", f.kind)
		p.invalid[name] = true
	}
}

func fieldNames(fields []field) string {
	list := make([]string, 0, len(fields))
	for _, f := range fields {
		list = append(list, f.name)
	}
	return strings.Join(list, ", ")
}
