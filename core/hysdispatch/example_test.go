package hysdispatch_test

import (
	"context"
	"fmt"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hyssnapshot"
)

// All sub-requests go out through the sender; the one here answers immediately.
func Example() {
	send := func(_ context.Context, to hysmember.Searcher, sub hysdispatch.SubRequest) hysdispatch.Result {
		return hysdispatch.Result{Hits: [][]byte{[]byte(string(to.ID) + " ran " + string(sub.Body))}}
	}
	d := hysdispatch.New(send)
	d.SetReplicas("captains-desk", []hysdispatch.Replica{{
		Searcher: hysmember.Searcher{ID: "desk-0-0", Service: "captains-desk"},
		Holdings: []hyssnapshot.Holding{{Epoch: 1, Range: hyssnapshot.Range{To: hyssnapshot.KeySpace, Versions: []hyssnapshot.Version{7}}}},
	}}, 2)
	reply := d.Submit(context.Background(), hysdispatch.SubRequest{
		Service: "captains-desk", Epoch: 1, Version: 7, Idempotent: true,
		Body: []byte("treble"), Deadline: time.Now().Add(time.Second),
	})
	fmt.Println(reply.Status, string(reply.Hits[0]))
	// Output: answered desk-0-0 ran treble
}
