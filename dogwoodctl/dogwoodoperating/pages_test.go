package dogwoodoperating

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestScriptsRunEveryDocumentedCommand checks that each command shown in the operators' pages
// occurs in a script, word for word.
func TestScriptsRunEveryDocumentedCommand(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("got %d scripts, %v", len(scripts), err)
	}
	var scriptText strings.Builder
	for _, script := range scripts {
		content, err := os.ReadFile(script)
		if err != nil {
			t.Fatal(err)
		}
		scriptText.Write(content)
	}
	pages, err := filepath.Glob("../../docs/operating/*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range append(pages, "../../docs/OPERATING.md") {
		content, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, command := range documentedCommands(string(content)) {
			if !strings.Contains(scriptText.String(), command+"\n") {
				t.Errorf("%s shows %q, which no script runs", filepath.Base(page), command)
			}
		}
	}
}

// documentedCommands returns the dogwoodctl commands in the code blocks of a page, without
// output redirections: the scripts copy the output instead.
func documentedCommands(page string) []string {
	var found []string
	for line := range strings.Lines(page) {
		if !strings.HasPrefix(line, "    ") {
			continue
		}
		command := strings.TrimPrefix(strings.TrimSpace(line), "$ ")
		if strings.HasPrefix(command, "dogwoodctl ") {
			command, _, _ = strings.Cut(command, " >")
			found = append(found, command)
		}
	}
	return found
}
