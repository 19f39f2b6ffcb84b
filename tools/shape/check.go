package main

import (
	"fmt"
	"go/ast"
	"go/token"
	"strings"
)

// checker collects the breaches of one file.
type checker struct {
	files *token.FileSet
	test  bool
	found []string
}

func (c *checker) report(n ast.Node, what string) {
	c.found = append(c.found, fmt.Sprintf("%s: %s", c.files.Position(n.Pos()), what))
}

func (c *checker) file(f *ast.File) {
	for _, d := range f.Decls {
		c.declaration(d)
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			c.report(n, "bare go statement, start goroutines through a group")
		case *ast.ForStmt:
			c.loop(n.Body)
		case *ast.RangeStmt:
			c.loop(n.Body)
		case *ast.CompositeLit:
			c.table(n)
		}
		return true
	})
}

// declaration looks at the named types of a package. A struct inside a function
// may have exported fields, so that a codec can use it.
func (c *checker) declaration(d ast.Decl) {
	decl, ok := d.(*ast.GenDecl)
	if !ok || decl.Tok != token.TYPE {
		return
	}
	ast.Inspect(decl, func(n ast.Node) bool {
		if s, ok := n.(*ast.StructType); ok {
			c.fields(s)
		}
		return true
	})
}

func (c *checker) fields(s *ast.StructType) {
	for _, f := range s.Fields.List {
		for _, name := range f.Names {
			if name.IsExported() {
				c.report(name, "exported struct field "+name.Name+", use an accessor")
			}
		}
	}
}

// loop looks for a select with a default, which would spin, directly in a loop.
func (c *checker) loop(body *ast.BlockStmt) {
	for _, s := range body.List {
		sel, ok := s.(*ast.SelectStmt)
		if !ok {
			continue
		}
		for _, clause := range sel.Body.List {
			if comm := clause.(*ast.CommClause); comm.Comm == nil {
				c.report(comm, "default in a select inside a loop, wait instead")
			}
		}
	}
}

// table looks for a test table that is a slice of structs.
func (c *checker) table(lit *ast.CompositeLit) {
	list, ok := lit.Type.(*ast.ArrayType)
	if !c.test || !ok {
		return
	}
	if _, ok := list.Elt.(*ast.StructType); ok {
		c.report(lit, "table of tests that is a slice, use a map by name")
		return
	}
	if id, ok := list.Elt.(*ast.Ident); ok && isCase(id.Name) {
		c.report(lit, "table of tests that is a slice, use a map by name")
	}
}

func isCase(name string) bool {
	name = strings.ToLower(name)
	return strings.HasSuffix(name, "case") || strings.HasSuffix(name, "test")
}
