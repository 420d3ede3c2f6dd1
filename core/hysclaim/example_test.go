package hysclaim_test

import (
	"fmt"

	"hyssopshore/core/hysclaim"
)

// Of two claims of the same id the first wins.
func ExamplePage_Claim() {
	id, err := hysclaim.CanonicalID("01900000-0000-7000-8000-000000000001")
	if err != nil {
		fmt.Println(err)
		return
	}
	var page hysclaim.Page
	_, won, _ := page.Claim(1, id, "first")
	fmt.Println("first:", won)
	_, won, _ = page.Claim(1, id, "second")
	fmt.Println("second:", won)
	// Output:
	// first: true
	// second: false
}
