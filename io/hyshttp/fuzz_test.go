package hyshttp_test

import (
	"testing"

	"hyssopshore/core/hysquery"
	"hyssopshore/io/hyshttp"
)

// FuzzDecode checks that no error has an empty message.
func FuzzDecode(f *testing.F) {
	for _, text := range []string{``, `{}`, `{"group":1}`, `{"x":1}`, "{\n\"class\":", `{"class":"soon"}`, `[]`, `{} {}`, `{}}`, `nul`} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var q hysquery.Query
		if err := hyshttp.Decode([]byte(text), &q); err != nil && err.Error() == "" {
			t.Fatal("an error without a message")
		}
	})
}
