package quota_test

import (
	"fmt"
	"time"

	"anvilstand/core/model"
	"anvilstand/core/quota"
)

func ExampleBucket() {
	var b quota.Bucket
	now := model.Instant(0)
	b.Set(now, 10, 2)
	now = now.Add(time.Second)
	for range 3 {
		fmt.Println(b.Spend(now))
	}
	// Output:
	// <nil>
	// <nil>
	// refused: overrate, run: not
}
