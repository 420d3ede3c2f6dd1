package hyssettings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is one fault of a settings file.
type Problem struct {
	// Line is 0 for a field that was left out.
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String returns the line, the field and the message.
func (p Problem) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.Field, p.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Field, p.Message)
}

// problems collects the faults of one file.
type problems struct {
	list []Problem
	// lines are those of the fields in the file.
	lines map[string]int
	// unread are the fields whose value has the wrong type.
	unread map[string]bool
}

// add reports a fault of a field, unless its value could not be read at all.
func (p *problems) add(field, format string, args ...any) {
	if p.unread[field] {
		return
	}
	p.list = append(p.list, Problem{Line: p.lines[field], Field: field, Message: fmt.Sprintf(format, args...)})
}

func (p *problems) given(field string) bool { return p.lines[field] > 0 }

// read returns the settings of a file and every problem of it, by line.
func read(data []byte) (Settings, []Problem) {
	var s Settings
	p := &problems{lines: make(map[string]int), unread: make(map[string]bool)}
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

// syntaxProblem keeps the place that the parser names.
func syntaxProblem(err error) Problem {
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	problem := Problem{Field: "file", Message: "not JSON with comments: " + message}
	// The parser's errors begin with "line L, column C: ".
	if _, scan := fmt.Sscanf(message, "line %d,", &problem.Line); scan != nil {
		problem.Line = 1
	}
	return problem
}

func lineAt(data []byte, offset int) int {
	return 1 + strings.Count(string(data[:offset]), "\n")
}

// field is one field of the file and where its value goes.
type field struct {
	name  string
	kind  string
	value any
}

// Kinds of values.
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

// readObject reads the members of an object; the names of nested fields get
// the prefix.
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
		at := slices.IndexFunc(fields, func(f field) bool { return prefix+f.name == name })
		if at < 0 {
			p.add(name, "unknown field; allowed are %s", names(fields))
			continue
		}
		p.readValue(data, m.Value, name, fields[at])
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
		p.unread[name] = true
	}
}

func names(fields []field) string {
	list := make([]string, 0, len(fields))
	for _, f := range fields {
		list = append(list, f.name)
	}
	return strings.Join(list, ", ")
}
