package hysmember_test

import (
	"fmt"

	"hyssopshore/core/hysmember"
)

// Every instance ranks the instances in the same order, whatever the order of
// its own list, and those of the preferred region first.
func ExampleRank() {
	instances := hysmember.Instances{
		{ID: "entry-1", Region: "accra"},
		{ID: "entry-2", Region: "kumasi"},
		{ID: "entry-3", Region: "accra"},
	}
	reversed := hysmember.Instances{instances[2], instances[1], instances[0]}
	first := hysmember.Rank(instances, "captains-desk/3", "kumasi")
	second := hysmember.Rank(reversed, "captains-desk/3", "kumasi")
	fmt.Println(first[0].ID, first[1].ID == second[1].ID, first[2].ID == second[2].ID)
	// Output: entry-2 true true
}
