package hysquarantine_test

import (
	"fmt"
	"time"

	"hyssopshore/core/hysquarantine"
)

// A crash while other requests run makes the request a suspect. A crash while
// it runs alone quarantines it. A crash that an operator lifts no longer counts.
func ExampleRegistry() {
	r := hysquarantine.NewRegistry(time.Now)
	key := hysquarantine.Key{Service: "captains-desk", Fingerprint: "e24f09001573ec23"}
	r.AttributeCrash(hysquarantine.Crash{Searcher: "desk-0-0", Event: "1"}, key)
	fmt.Println(r.Record(key).State())
	r.AttributeCrash(hysquarantine.Crash{Searcher: "desk-0-1", Event: "2", Alone: true}, key)
	fmt.Println(r.Record(key).State())
	r.Lift(key)
	fmt.Println(r.Record(key).State())
	// Output:
	// suspect
	// quarantined
	// clear
}
