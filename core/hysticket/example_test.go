package hysticket_test

import (
	"fmt"

	"hyssopshore/core/hysgroup"
	"hyssopshore/core/hysticket"
)

// A ticket that arrives after one with a higher number changes nothing.
func ExampleState_Apply() {
	newer := hysticket.Ticket{Number: 8, Author: "ama", Groups: hysgroup.Groups{{Name: "accra-ringers", Weight: 3}}}
	older := hysticket.Ticket{Number: 7, Author: "kofi", Groups: hysgroup.Groups{{Name: "accra-ringers", Weight: 1}}}
	var state hysticket.State
	state, result, _ := state.Apply(newer)
	fmt.Println(result)
	state, result, _ = state.Apply(older)
	fmt.Println(result)
	group, _ := state.Group("accra-ringers")
	fmt.Println("weight", group.Weight)
	// Output:
	// accepted
	// superseded
	// weight 3
}
