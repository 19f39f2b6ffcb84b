// Shape checks the syntax trees of a module against the project's rules for the
// shape of its code: no bare go statement, no exported struct field, no test table
// that is a slice, no default in a select inside a loop, and no name of the users'
// platform outside the folder that translates between the two. It prints one line
// for each violation and exits with 1 if there are any, 2 if a file can't be read or
// parsed.
package main

import (
	"fmt"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

func main() {
	root := "."
	if len(os.Args) > 1 {
		root = os.Args[1]
	}
	violations, err := checkTree(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for _, v := range violations {
		fmt.Println(v)
	}
	if len(violations) > 0 {
		os.Exit(1)
	}
}

// checkTree checks all Go files below a folder and returns the violations.
func checkTree(root string) ([]string, error) {
	var violations []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		inFile, err := checkFile(path, text)
		violations = append(violations, inFile...)
		return err
	})
	return violations, err
}

// checkFile checks one file and returns the violations. The path decides whether the
// file is a test and whether it may have names of the platform.
func checkFile(path string, text []byte) ([]string, error) {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, text, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	c := &checker{fset: fset, test: strings.HasSuffix(path, "_test.go")}
	c.checkFile(file)
	c.checkWords(path, text, file.FileStart)
	return c.violations, nil
}
