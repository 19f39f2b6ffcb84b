package conf_test

import (
	"fmt"

	"anvilstand/core/conf"
)

func ExampleService_Match() {
	d := conf.Edit(&conf.Config{})
	d.PutService("stock")
	d.PutRoute("stock", conf.NewRoute("GET", "/").AsOpen())
	d.PutRoute("stock", conf.NewRoute("GET", "/items").AsIdempotent())
	s, _ := d.Build(1).Service("stock")
	for _, path := range []string{"/items/7", "/itemsets"} {
		r, ok := s.Match("GET", path)
		fmt.Println(path, r.Prefix(), ok)
	}
	// Output:
	// /items/7 /items true
	// /itemsets / true
}
