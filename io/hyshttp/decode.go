package hyshttp

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/juju/errors"
)

// SyntaxError describes an invalid JSON value to its sender.
type SyntaxError struct {
	// Line and Column begin at 1 and are 0 if the position is not known.
	Line    int
	Column  int
	Message string
}

// Error returns the position, if known, and the message.
func (e *SyntaxError) Error() string {
	if e.Line == 0 {
		return e.Message
	}
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

// unknownFieldPrefix starts the decoder's error for an unknown field, which has
// no type of its own.
const unknownFieldPrefix = "json: unknown field "

// describe converts an error of the decoder to one for the sender of the value.
func describe(data []byte, err error) error {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case len(strings.TrimSpace(string(data))) == 0:
		return &SyntaxError{Message: "there is no JSON value"}
	case errors.As(err, &syntax):
		return syntaxErrorAt(data, syntax.Offset, "not JSON: "+syntax.Error())
	case errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF):
		return syntaxErrorAt(data, int64(len(data)), "not JSON: it ends too early")
	case errors.As(err, &mismatch):
		return syntaxErrorAt(data, mismatch.Offset, fmt.Sprintf("%s must be %s, not %s", fieldName(mismatch.Field), jsonTypeName(mismatch.Type), mismatch.Value))
	case strings.HasPrefix(err.Error(), unknownFieldPrefix):
		name := strings.TrimPrefix(err.Error(), unknownFieldPrefix)
		return &SyntaxError{Message: "unknown field " + name}
	default:
		return err
	}
}

func syntaxErrorAt(data []byte, offset int64, message string) *SyntaxError {
	before := string(data[:min(int(offset), len(data))])
	line := 1 + strings.Count(before, "\n")
	column := len(before) - strings.LastIndex(before, "\n")
	return &SyntaxError{Line: line, Column: max(column-1, 1), Message: message}
}

func fieldName(path string) string {
	if path == "" {
		return "the value"
	}
	return "field " + path
}

// jsonTypeName returns the JSON type that decodes into a Go type.
func jsonTypeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number of at least 0"
	default:
		return "a whole number"
	}
}
