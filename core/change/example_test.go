package change_test

import (
	"fmt"

	"anvilstand/core/change"
	"anvilstand/core/conf"
)

func ExampleParseChanges() {
	batch, err := change.ParseChanges("add org acme rate 100 burst 20; out domain north")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(change.FormatBatch(batch))
	// Output:
	// add org acme rate 100 burst 20 rank 4
	// out domain north
}

func ExampleParseChanges_fault() {
	_, err := change.ParseChanges("add org acme rate many")
	fmt.Println(err)
	// Output: line 1, column 19: expected requests a second from 0 to 1e+07, found a word of 4 bytes
}

func ExampleApply() {
	batch, _ := change.ParseChanges("add org acme rate 100 burst 20\nset org acme rate 80")
	c, err := change.Apply(&conf.Config{}, batch, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	o, _ := c.Org("acme")
	fmt.Println(c.Revision(), o.Rate(), o.Burst())
	// Output: 1 80 20
}
