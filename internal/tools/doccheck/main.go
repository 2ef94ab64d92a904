// Command doccheck reports exported names that have no doc comment.
//
// It reads the Go files below the directories that are its arguments, by default
// the current directory. For each exported function, method, type, constant or
// variable that is not documented, and for each such package, it prints a line
// "file:line: name has no doc comment". It exits with status 1 if it printed a
// line, and with 2 if a file cannot be read or parsed. It skips test files,
// generated files, testdata, and directories whose names begin with "." or "_".
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

func main() {
	roots := os.Args[1:]
	if len(roots) == 0 {
		roots = []string{"."}
	}
	os.Exit(run(roots, os.Stdout, os.Stderr))
}

// run checks the trees below roots, prints the findings to stdout and returns the exit
// status.
func run(roots []string, stdout, stderr io.Writer) int {
	var missing []finding
	for _, root := range roots {
		found, err := checkTree(root)
		if err != nil {
			fmt.Fprintln(stderr, "doccheck:", err)
			return 2
		}
		missing = append(missing, found...)
	}
	for _, f := range missing {
		fmt.Fprintf(stdout, "%s:%d: %s has no doc comment\n", f.position.Filename, f.position.Line, f.name)
	}
	if len(missing) > 0 {
		return 1
	}
	return 0
}

// finding is an exported name without a doc comment.
type finding struct {
	position token.Position
	name     string
}

// checkTree checks every package below root and returns the findings, ordered by the
// paths of the packages.
func checkTree(root string) ([]finding, error) {
	files := token.NewFileSet()
	packages := make(map[string][]*ast.File) // by directory and package name
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := entry.Name()
		if entry.IsDir() {
			if path != root && (name == "testdata" || strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_")) {
				return fs.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(files, path, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		if !ast.IsGenerated(file) {
			key := filepath.Dir(path) + "\x00" + file.Name.Name
			packages[key] = append(packages[key], file)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	c := checker{files: files}
	for _, key := range sortedKeys(packages) {
		c.checkPackage(packages[key])
	}
	return c.missing, nil
}

func sortedKeys(packages map[string][]*ast.File) []string {
	keys := make([]string, 0, len(packages))
	for key := range packages {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// checker collects the undocumented names in the files of a file set.
type checker struct {
	files   *token.FileSet
	missing []finding
}

// require records name as missing a doc comment, unless one of docs has text.
func (c *checker) require(pos token.Pos, name string, docs ...*ast.CommentGroup) {
	for _, doc := range docs {
		if strings.TrimSpace(doc.Text()) != "" {
			return
		}
	}
	c.missing = append(c.missing, finding{c.files.Position(pos), name})
}

// checkPackage checks the files of one package, at least one of which must have a
// package comment.
func (c *checker) checkPackage(files []*ast.File) {
	var packageDocs []*ast.CommentGroup
	for _, file := range files {
		packageDocs = append(packageDocs, file.Doc)
	}
	c.require(files[0].Package, "package "+files[0].Name.Name, packageDocs...)
	for _, file := range files {
		for _, decl := range file.Decls {
			switch decl := decl.(type) {
			case *ast.FuncDecl:
				c.checkFunc(decl)
			case *ast.GenDecl:
				c.checkGroup(decl)
			}
		}
	}
}

// checkFunc checks an exported function, or an exported method of an exported type.
func (c *checker) checkFunc(decl *ast.FuncDecl) {
	if !decl.Name.IsExported() {
		return
	}
	name := decl.Name.Name
	if decl.Recv != nil && len(decl.Recv.List) > 0 {
		receiver := receiverName(decl.Recv.List[0].Type)
		if !ast.IsExported(receiver) {
			return
		}
		name = receiver + "." + name
	}
	c.require(decl.Name.Pos(), name, decl.Doc)
}

// receiverName returns the name of a receiver's type, without pointer and type
// parameters, or "" if it has none.
func receiverName(expr ast.Expr) string {
	for {
		switch e := expr.(type) {
		case *ast.StarExpr:
			expr = e.X
		case *ast.ParenExpr:
			expr = e.X
		case *ast.IndexExpr:
			expr = e.X
		case *ast.IndexListExpr:
			expr = e.X
		case *ast.Ident:
			return e.Name
		default:
			return ""
		}
	}
}

// checkGroup checks a declaration of types, constants or variables. The comment of
// a group in parentheses documents all its constants or variables, but not its types.
func (c *checker) checkGroup(decl *ast.GenDecl) {
	for _, spec := range decl.Specs {
		switch spec := spec.(type) {
		case *ast.TypeSpec:
			docs := []*ast.CommentGroup{spec.Doc, spec.Comment}
			if !decl.Lparen.IsValid() {
				docs = append(docs, decl.Doc)
			}
			if spec.Name.IsExported() {
				c.require(spec.Name.Pos(), spec.Name.Name, docs...)
				c.checkInterface(spec)
			}
		case *ast.ValueSpec:
			for _, name := range spec.Names {
				if name.IsExported() {
					c.require(name.Pos(), name.Name, decl.Doc, spec.Doc, spec.Comment)
				}
			}
		}
	}
}

// checkInterface checks the methods of an exported interface.
func (c *checker) checkInterface(spec *ast.TypeSpec) {
	methods, isInterface := spec.Type.(*ast.InterfaceType)
	if !isInterface {
		return
	}
	for _, method := range methods.Methods.List {
		for _, name := range method.Names { // an embedded interface has no name
			if name.IsExported() {
				c.require(name.Pos(), spec.Name.Name+"."+name.Name, method.Doc, method.Comment)
			}
		}
	}
}
