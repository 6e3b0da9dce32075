package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestPageListsEveryKey compares the operators' page with the schema.
func TestPageListsEveryKey(t *testing.T) {
	text, err := os.ReadFile("../../docs/operators/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := 0
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, " | `") && !strings.Contains(line, "|---") {
			rows++
		}
	}
	keys := 0
	for _, section := range schema {
		for _, key := range section.Keys {
			keys++
			value := ""
			switch {
			case key.Default != "":
				value = "`" + key.Default + "` "
			case !key.Required:
				value = "optional "
			}
			row := fmt.Sprintf("| %s | `%s` | %s|", section.Kind, key.Name, value)
			if !strings.Contains(string(text), row) {
				t.Errorf("the page lacks %q", row)
			}
		}
	}
	if rows != keys {
		t.Errorf("the page has %d rows for %d keys", rows, keys)
	}
}
