package layout

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// module is the prefix of the import path of every package in this repository.
const module = "redwingspread/"

// decisionPackages are the packages that make decisions; they do not depend on I/O or clocks.
var decisionPackages = []string{
	"admit", "allowance", "budget", "config", "directory", "failover", "fleet", "freshness", "history", "holder", "member", "model", "outlier",
	"placement", "rollout", "route", "session", "statement", "upperbound", "view",
}

// forbiddenImports are the packages that decision packages must not depend on, together with the packages below them.
var forbiddenImports = []string{
	module + "pkg/api", "net", "net/http", "crypto/tls", "github.com/quic-go/quic-go", "os/exec",
}

func TestDecisionsDoNoIO(t *testing.T) {
	for _, name := range decisionPackages {
		t.Run(name, func(t *testing.T) {
			out, err := exec.Command("go", "list", "-deps", module+"internal/"+name).Output()
			if err != nil {
				t.Fatalf("got %v, want the list of dependencies", err)
			}
			for _, got := range strings.Fields(string(out)) {
				if isForbidden(got) {
					t.Errorf("got a dependency on %s, want none", got)
				}
			}
		})
	}
}

// isForbidden reports whether decision packages must not depend on the package; of the packages below net, only net/http is forbidden.
func isForbidden(path string) bool {
	for _, name := range forbiddenImports {
		if path == name || (strings.HasPrefix(path, name+"/") && name != "net") {
			return true
		}
	}
	return false
}

func TestDecisionsReadNoClock(t *testing.T) {
	for _, name := range decisionPackages {
		t.Run(name, func(t *testing.T) {
			files, err := filepath.Glob(filepath.Join("..", name, "*.go"))
			if err != nil || len(files) == 0 {
				t.Fatalf("got files %v, %v, want some", files, err)
			}
			for _, file := range files {
				if strings.HasSuffix(file, "_test.go") {
					continue
				}
				for _, got := range clockReads(t, file) {
					t.Errorf("got %s in %s, want the time as an argument", got, file)
				}
			}
		})
	}
}

// clockReads returns the functions used in a file that read the clock or wait.
func clockReads(t *testing.T, file string) (found []string) {
	t.Helper()
	source, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := parser.ParseFile(token.NewFileSet(), file, source, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(parsed, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if base, ok := selector.X.(*ast.Ident); ok && base.Name == "time" && readsClock[selector.Sel.Name] {
			found = append(found, "time."+selector.Sel.Name)
		}
		return true
	})
	return found
}

// readsClock holds the functions of package time that read the clock or wait.
var readsClock = map[string]bool{
	"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true, "AfterFunc": true,
	"NewTimer": true, "NewTicker": true, "Tick": true,
}

func TestImportAndClockChecks(t *testing.T) {
	tests := map[string]struct {
		path string
		want bool
	}{
		"generated messages":    {path: module + "pkg/api/peerapi", want: true},
		"sockets":               {path: "net", want: true},
		"addresses without I/O": {path: "net/netip", want: false},
		"decision package":      {path: module + "internal/model", want: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := isForbidden(test.path); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
	file := filepath.Join(t.TempDir(), "clock.go")
	source := "package p\nimport \"time\"\nvar a = time.Now()\nvar b = time.Unix(0, 0)\n"
	if err := os.WriteFile(file, []byte(source), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := clockReads(t, file); len(got) != 1 || got[0] != "time.Now" {
		t.Errorf("got clock reads %v, want only time.Now", got)
	}
}
