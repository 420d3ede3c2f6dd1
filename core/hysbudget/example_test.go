package hysbudget_test

import (
	"fmt"

	"hyssopshore/core/hysbudget"
)

// A budget of 10% allows one retry for ten requests.
func Example() {
	b := hysbudget.New(0.1, 1)
	fmt.Println("first retry:", b.TrySpend(0))
	for range 9 {
		b.AddRequest()
	}
	fmt.Println("after 9 requests:", b.TrySpend(0))
	for range 2 {
		b.AddRequest()
	}
	fmt.Println("after 11 requests:", b.TrySpend(0))
	// Output:
	// first retry: true
	// after 9 requests: false
	// after 11 requests: true
}
