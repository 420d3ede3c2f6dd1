package hyssnapshot_test

import (
	"fmt"

	"hyssopshore/core/hyssnapshot"
)

// The second shard doesn't serve version 8 yet, so version 7 is pinned.
func ExampleMap_Pin() {
	half := hyssnapshot.KeySpace / 2
	m, err := hyssnapshot.NewMap(1, []hyssnapshot.Range{
		{Shard: 0, From: 0, To: half, Versions: []hyssnapshot.Version{7, 8}},
		{Shard: 1, From: half, To: hyssnapshot.KeySpace, Versions: []hyssnapshot.Version{7}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	version, everywhere := m.Pin()
	fmt.Println(version, everywhere)
	// Output: 7 true
}
