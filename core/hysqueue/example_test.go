package hysqueue_test

import (
	"fmt"
	"time"

	"hyssopshore/core/hysqueue"
)

// Two groups of equal weight alternate, although one queued more items.
func Example() {
	q := hysqueue.New()
	for range 4 {
		q.Push(hysqueue.Item{Group: "busy", Weight: 1, Cost: time.Second})
	}
	for range 2 {
		q.Push(hysqueue.Item{Group: "calm", Weight: 1, Cost: time.Second})
	}
	turns := map[string]int{}
	for range 4 {
		item, _ := q.Pop(func(hysqueue.Item) bool { return true })
		turns[string(item.Group)]++
	}
	fmt.Println(turns)
	// Output: map[busy:2 calm:2]
}
