package hyssettings_test

import (
	"errors"
	"testing"

	"hyssopshore/io/hyssettings"
)

// FuzzParse checks that Parse returns either no problem and no error, or ErrInvalid
// and at least one problem, each with a line number within the file.
func FuzzParse(f *testing.F) {
	for _, c := range loadCases() {
		f.Add(c.text())
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, problems, err := hyssettings.Parse([]byte(text))
		if errors.Is(err, hyssettings.ErrInvalid) != (len(problems) > 0) {
			t.Fatalf("%d problems with error %v", len(problems), err)
		}
		for _, p := range problems {
			if p.Field == "" || p.Message == "" || p.Line < 0 || p.Line > 1+len(text) {
				t.Fatalf("problem %+v", p)
			}
		}
	})
}
