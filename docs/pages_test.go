// Package docs checks what the pages say of the code against the code.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const root = ".." // of the repository

// records lists pages that describe the repository as it was in their day: only
// their links are checked.
var records = regexp.MustCompile(`^docs/(findings/|incidents/|ROADMAP\.md$|open-points\.md$)`)

// pages returns the text of every page below the root, by its path from there.
func pages(t *testing.T) map[string]string {
	t.Helper()
	found := make(map[string]string)
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md", "deploy/*/*.md"} {
		paths, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			name, err := filepath.Rel(root, path)
			if err != nil {
				t.Fatal(err)
			}
			found[filepath.ToSlash(name)] = string(text)
		}
	}
	if len(found) < 10 {
		t.Fatalf("only %d pages found", len(found))
	}
	return found
}

// eachMatch calls check with the first group of each match in each page, and the
// line on which it stands.
func eachMatch(t *testing.T, texts map[string]string, pattern *regexp.Regexp, check func(page string, line int, match string)) {
	t.Helper()
	for page, text := range texts {
		for number, line := range strings.Split(text, "\n") {
			for _, match := range pattern.FindAllStringSubmatch(line, -1) {
				check(page, number+1, match[1])
			}
		}
	}
}

// exists reports whether a path from the root, or pattern of paths, names a file.
func exists(path ...string) bool {
	found, err := filepath.Glob(filepath.Join(append([]string{root}, path...)...))
	return err == nil && len(found) > 0
}

// A page that another page names is there, from the other's folder, from docs or
// from the root.
func TestNamedPagesExist(t *testing.T) {
	count := 0
	eachMatch(t, pages(t), regexp.MustCompile("[`(]([A-Za-z0-9_./-]+\\.md)[`)#]"), func(page string, line int, link string) {
		count++
		if !exists(filepath.Dir(page), link) && !exists("docs", link) && !exists(link) {
			t.Errorf("%s:%d: there is no page %s", page, line, link)
		}
	})
	if count < 20 {
		t.Errorf("only %d links were checked", count)
	}
}

// currentPages returns the pages that describe the repository as it is.
func currentPages(t *testing.T) map[string]string {
	t.Helper()
	current := pages(t)
	for page := range current {
		if records.MatchString(page) {
			delete(current, page)
		}
	}
	return current
}

// A file, folder or program that a page names is there.
func TestNamedPathsExist(t *testing.T) {
	path := regexp.MustCompile("`(?:\\./)?((?:cmd|internal|policy|lab|deploy|docs|journal|bin)/[A-Za-z0-9_./*-]*)")
	eachMatch(t, currentPages(t), path, func(page string, line int, name string) {
		built, isProgram := strings.CutPrefix(name, "bin/")
		switch {
		case isProgram && built == "relay-cut": // a build of cmd/relay with the tag cutfs
		case isProgram && !exists("cmd", built):
			t.Errorf("%s:%d: no program %s is built", page, line, name)
		case !isProgram && !exists(strings.TrimSuffix(name, ".")):
			t.Errorf("%s:%d: there is no %s", page, line, name)
		}
	})
}

// Each declaration that a page names as `path/file.go: Name` stands in that file.
// Several names of one file are separated by commas; a method is Type.Method.
func TestNamedDeclarationsExist(t *testing.T) {
	count := 0
	declared := make(map[string]map[string]bool) // by file
	reference := regexp.MustCompile("`([a-z][A-Za-z0-9_./-]*\\.go: [^`]+)`")
	eachMatch(t, currentPages(t), reference, func(page string, line int, text string) {
		file, names, _ := strings.Cut(text, ": ")
		if declared[file] == nil {
			names, err := declarations(filepath.Join(root, file))
			if err != nil {
				t.Errorf("%s:%d: %v", page, line, err)
			}
			declared[file] = names
		}
		for _, name := range strings.Split(names, ", ") {
			count++
			if !declared[file][name] {
				t.Errorf("%s:%d: %s declares no %s", page, line, file, name)
			}
		}
	})
	if count < 50 {
		t.Errorf("only %d declarations were checked", count)
	}
}

// A test that a page names is there.
func TestNamedTestsExist(t *testing.T) {
	tests := make(map[string]bool)
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		names, err := declarations(path)
		for name := range names {
			tests[name] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	eachMatch(t, currentPages(t), regexp.MustCompile(`\b((?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9_]*)`), func(page string, line int, name string) {
		if !tests[name] {
			t.Errorf("%s:%d: there is no test %s", page, line, name)
		}
	})
}

// A log line that a page gives as the present one, in a table under "Log lines",
// is a string of the code.
func TestNamedLogLinesExist(t *testing.T) {
	literals := stringLiterals(t)
	row := regexp.MustCompile("^\\|[^|]*`[^|]*\\| `([^`]+)`")
	inTable, count := false, 0
	for number, line := range strings.Split(pages(t)["docs/on-call.md"], "\n") {
		inTable = strings.HasPrefix(line, "Log lines") || inTable && (line == "" || strings.HasPrefix(line, "|"))
		match := row.FindStringSubmatch(line)
		if !inTable || match == nil {
			continue
		}
		count++
		if !literals[match[1]] {
			t.Errorf("docs/on-call.md:%d: no program logs %q", number+1, match[1])
		}
	}
	if count < 50 {
		t.Errorf("only %d log lines were checked", count)
	}
}

// stringLiterals returns the strings that stand in the code outside of its tests.
func stringLiterals(t *testing.T) map[string]bool {
	t.Helper()
	found := make(map[string]bool)
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				text, err := strconv.Unquote(literal.Value)
				if err != nil {
					t.Errorf("%s: %v", path, err)
				}
				found[text] = true
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// declarations returns the names that a Go file declares at its top level, methods
// with their types.
func declarations(path string) (map[string]bool, error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	names := make(map[string]bool)
	for _, decl := range file.Decls {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			names[functionName(decl)] = true
		case *ast.GenDecl:
			for _, spec := range decl.Specs {
				switch spec := spec.(type) {
				case *ast.TypeSpec:
					names[spec.Name.Name] = true
				case *ast.ValueSpec:
					for _, name := range spec.Names {
						names[name.Name] = true
					}
				}
			}
		}
	}
	return names, nil
}

// functionName returns Name, or Type.Name for a method.
func functionName(decl *ast.FuncDecl) string {
	if decl.Recv == nil {
		return decl.Name.Name
	}
	receiver := decl.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	switch generic := receiver.(type) {
	case *ast.IndexExpr:
		receiver = generic.X
	case *ast.IndexListExpr:
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "." + decl.Name.Name
	}
	return decl.Name.Name
}
