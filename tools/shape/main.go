// Shape checks the syntax trees of a module against the shape of the project:
// no bare go statement, no exported struct field, no table of tests that is a
// slice, no default in a select that waits in a loop, no name of the users'
// platform outside the folder that translates.
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
	found, err := checkTree(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for _, line := range found {
		fmt.Println(line)
	}
	if len(found) > 0 {
		os.Exit(1)
	}
}

func checkTree(root string) ([]string, error) {
	var found []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		lines, err := checkFile(path, text)
		found = append(found, lines...)
		return err
	})
	return found, err
}

func checkFile(path string, text []byte) ([]string, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, text, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	c := &checker{files: files, test: strings.HasSuffix(path, "_test.go")}
	c.file(file)
	c.words(path, text, file.FileStart)
	return c.found, nil
}
