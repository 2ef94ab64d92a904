// Package docs checks that what the documentation pages say about the code is true.
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

const rootDir = ".." // the root directory of the repository

// historicalPages matches the pages that describe the repository as it was when they were
// written. Only their links are checked.
var historicalPages = regexp.MustCompile(`^docs/(findings/|incidents/|ROADMAP\.md$|open-points\.md$)`)

// readPages returns the text of each page in the root, in docs, in the folders of docs and
// in those of deploy, by the page's path relative to the root.
func readPages(t *testing.T) map[string]string {
	t.Helper()
	texts := make(map[string]string)
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md", "deploy/*/*.md"} {
		paths, err := filepath.Glob(filepath.Join(rootDir, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			name, err := filepath.Rel(rootDir, path)
			if err != nil {
				t.Fatal(err)
			}
			texts[filepath.ToSlash(name)] = string(text)
		}
	}
	if len(texts) < 10 {
		t.Fatalf("only %d pages found", len(texts))
	}
	return texts
}

// eachMatch calls check for each match of pattern in each page, with the number of the
// line and the text of the pattern's first group.
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

// pathExists reports whether there is a file or directory at a path relative to the root.
// The path may be a pattern of filepath.Glob.
func pathExists(path ...string) bool {
	found, err := filepath.Glob(filepath.Join(append([]string{rootDir}, path...)...))
	return err == nil && len(found) > 0
}

// A page that another page names exists, relative to the other page's folder, to docs
// or to the root.
func TestPagesNamedInPagesExist(t *testing.T) {
	count := 0
	eachMatch(t, readPages(t), regexp.MustCompile("[`(]([A-Za-z0-9_./-]+\\.md)[`)#]"), func(page string, line int, link string) {
		count++
		if !pathExists(filepath.Dir(page), link) && !pathExists("docs", link) && !pathExists(link) {
			t.Errorf("%s:%d: there is no page %s", page, line, link)
		}
	})
	if count < 20 {
		t.Errorf("only %d links were checked", count)
	}
}

// readCurrentPages returns the pages that describe the repository as it is now: all but
// those that historicalPages matches.
func readCurrentPages(t *testing.T) map[string]string {
	t.Helper()
	current := readPages(t)
	for page := range current {
		if historicalPages.MatchString(page) {
			delete(current, page)
		}
	}
	return current
}

// A file or folder that a page names exists, and so does the source of a program in bin.
func TestPathsNamedInPagesExist(t *testing.T) {
	path := regexp.MustCompile("`(?:\\./)?((?:cmd|internal|policy|lab|deploy|docs|journal|bin)/[A-Za-z0-9_./*-]*)")
	eachMatch(t, readCurrentPages(t), path, func(page string, line int, name string) {
		program, isProgram := strings.CutPrefix(name, "bin/")
		switch {
		case isProgram && program == "relay-cut": // built from cmd/relay with the tag cutfs
		case isProgram && !pathExists("cmd", program):
			t.Errorf("%s:%d: there is no program %s: its folder in cmd is missing", page, line, name)
		case !isProgram && !pathExists(strings.TrimSuffix(name, ".")):
			t.Errorf("%s:%d: there is no file or folder %s", page, line, name)
		}
	})
}

// Each declaration that a page names as `path/file.go: Name` is in that file. Several
// names of one file are separated by commas; a method is named as Type.Method.
func TestDeclarationsNamedInPagesExist(t *testing.T) {
	count := 0
	declared := make(map[string]map[string]bool) // the names declared in a file, by its path
	reference := regexp.MustCompile("`([a-z][A-Za-z0-9_./-]*\\.go: [^`]+)`")
	eachMatch(t, readCurrentPages(t), reference, func(page string, line int, text string) {
		file, names, _ := strings.Cut(text, ": ")
		if declared[file] == nil {
			names, err := declarations(filepath.Join(rootDir, file))
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

// A test, fuzz test or benchmark that a page names exists.
func TestTestsNamedInPagesExist(t *testing.T) {
	tests := make(map[string]bool)
	err := filepath.WalkDir(rootDir, func(path string, entry fs.DirEntry, err error) error {
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
	eachMatch(t, readCurrentPages(t), regexp.MustCompile(`\b((?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9_]*)`), func(page string, line int, name string) {
		if !tests[name] {
			t.Errorf("%s:%d: there is no test %s", page, line, name)
		}
	})
}

// Each log line that docs/on-call.md gives as the present one, in the second column of
// a table under "Log lines", is a string literal of the code.
func TestLogLinesNamedInOnCallPageExistInCode(t *testing.T) {
	literals := stringLiterals(t)
	row := regexp.MustCompile("^\\|[^|]*`[^|]*\\| `([^`]+)`")
	inTable, count := false, 0
	for number, line := range strings.Split(readPages(t)["docs/on-call.md"], "\n") {
		inTable = strings.HasPrefix(line, "Log lines") || inTable && (line == "" || strings.HasPrefix(line, "|"))
		match := row.FindStringSubmatch(line)
		if !inTable || match == nil {
			continue
		}
		count++
		if !literals[match[1]] {
			t.Errorf("docs/on-call.md:%d: the log line %q is no string literal of the code", number+1, match[1])
		}
	}
	if count < 50 {
		t.Errorf("only %d log lines were checked", count)
	}
}

// stringLiterals returns the values of all string literals in the repository's Go
// files, except test files.
func stringLiterals(t *testing.T) map[string]bool {
	t.Helper()
	literals := make(map[string]bool)
	err := filepath.WalkDir(rootDir, func(path string, entry fs.DirEntry, err error) error {
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
				literals[text] = true
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return literals
}

// declarations returns the names that a Go file declares at its top level. A method is
// named as Type.Method.
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

// functionName returns the name of a function, or Type.Method for a method.
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
