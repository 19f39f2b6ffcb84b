package main

import (
	"fmt"
	"go/ast"
	"go/token"
	"strings"
)

// checker collects the violations of the rules in one file.
type checker struct {
	fset       *token.FileSet
	test       bool
	violations []string
}

// report adds a violation at a node.
func (c *checker) report(n ast.Node, message string) {
	c.violations = append(c.violations, fmt.Sprintf("%s: %s", c.fset.Position(n.Pos()), message))
}

func (c *checker) checkFile(f *ast.File) {
	for _, d := range f.Decls {
		c.checkDecl(d)
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			c.report(n, "bare go statement, start goroutines through a group")
		case *ast.ForStmt:
			c.checkLoop(n.Body)
		case *ast.RangeStmt:
			c.checkLoop(n.Body)
		case *ast.CompositeLit:
			c.checkTable(n)
		}
		return true
	})
}

// checkDecl checks the types that a package declares. Types declared inside a
// function are not checked: their fields may be exported for an encoder.
func (c *checker) checkDecl(d ast.Decl) {
	decl, ok := d.(*ast.GenDecl)
	if !ok || decl.Tok != token.TYPE {
		return
	}
	ast.Inspect(decl, func(n ast.Node) bool {
		if s, ok := n.(*ast.StructType); ok {
			c.checkFields(s)
		}
		return true
	})
}

// checkFields reports exported fields of a struct.
func (c *checker) checkFields(structType *ast.StructType) {
	for _, field := range structType.Fields.List {
		for _, name := range field.Names {
			if name.IsExported() {
				c.report(name, "exported struct field "+name.Name+", use an accessor")
			}
		}
	}
}

// checkLoop reports a select with a default directly in the body of a loop: such a
// loop spins.
func (c *checker) checkLoop(body *ast.BlockStmt) {
	for _, stmt := range body.List {
		sel, ok := stmt.(*ast.SelectStmt)
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

// checkTable reports a slice of test cases in a test file: of a struct type without
// a name, or of a type whose name ends in "case" or "test".
func (c *checker) checkTable(lit *ast.CompositeLit) {
	array, ok := lit.Type.(*ast.ArrayType)
	if !c.test || !ok {
		return
	}
	if _, ok := array.Elt.(*ast.StructType); ok {
		c.report(lit, "table of tests that is a slice, use a map by name")
		return
	}
	if ident, ok := array.Elt.(*ast.Ident); ok && isCaseType(ident.Name) {
		c.report(lit, "table of tests that is a slice, use a map by name")
	}
}

func isCaseType(name string) bool {
	name = strings.ToLower(name)
	return strings.HasSuffix(name, "case") || strings.HasSuffix(name, "test")
}
