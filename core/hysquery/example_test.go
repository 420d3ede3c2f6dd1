package hysquery_test

import (
	"fmt"

	"hyssopshore/core/hysquery"
)

// A resend has a different id but the same fingerprint.
func ExampleQuery_Fingerprint() {
	first := hysquery.Query{RequestID: "a", Service: "captains-desk", Body: []byte(`{"find":"treble"}`)}
	resend := first
	resend.RequestID = "b"
	other := first
	other.Body = []byte(`{"find":"tenor"}`)
	fmt.Println(first.Fingerprint() == resend.Fingerprint(), first.Fingerprint() == other.Fingerprint())
	// Output: true false
}
