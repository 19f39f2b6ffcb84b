package main

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestCheckFile(t *testing.T) {
	cases := map[string]struct {
		path string
		text string
		want []string
	}{
		"clean": {
			path: "a.go", text: "package a\ntype s struct{ n int }\n",
		},
		"bare go statement": {
			path: "a.go", text: "package a\nfunc f() { go f() }\n",
			want: []string{"a.go:2:12: bare go statement, start goroutines through a group"},
		},
		"exported field": {
			path: "a.go", text: "package a\ntype s struct{ N int }\n",
			want: []string{"a.go:2:16: exported struct field N, use an accessor"},
		},
		"exported field inside a function": {
			path: "a.go", text: "package a\nfunc f() { var w struct{ N int }; _ = w }\n",
		},
		"slice of unnamed structs as test table": {
			path: "a_test.go", text: "package a\nvar cases = []struct{ n int }{{1}}\n",
			want: []string{"a_test.go:2:13: table of tests that is a slice, use a map by name"},
		},
		"slice of a case type as test table": {
			path: "a_test.go", text: "package a\nvar cases = []addCase{{1}}\n",
			want: []string{"a_test.go:2:13: table of tests that is a slice, use a map by name"},
		},
		"name of the platform outside its folder": {
			path: "io/a.go", text: "package a\nconst h = \"X-Tenant\"\n",
			want: []string{"io/a.go:2:12: X-Tenant is a name of the platform, which only platform/ knows"},
		},
		"name of the platform in its folder": {
			path: "platform/a.go", text: "package a\nconst h = \"X-Tenant\"\n",
		},
		"select with default in a loop": {
			path: "a.go", text: "package a\nfunc f(c chan int) { for { select { case <-c: default: } } }\n",
			want: []string{"a.go:2:47: default in a select inside a loop, wait instead"},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := checkFile(tc.path, []byte(tc.text))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
