package result

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// row renders one code as a line of the table in docs/RESULT-CODES.md: number,
// name, HTTP status, outcome, whether to send again, meaning.
func row(i Info) string {
	again := "no"
	if i.Retry {
		again = "yes"
	}
	http := "-"
	if i.HTTP != 0 {
		http = strconv.Itoa(i.HTTP)
	}
	return fmt.Sprintf("| %d | %s | %s | %s | %s | %s |", i.Code, i.Name, http, i.Outcome, again, i.Meaning)
}

// TestDocumentedTable compares docs/RESULT-CODES.md with the table in code, so
// that a code cannot be added or changed without its documentation.
func TestDocumentedTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/RESULT-CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for line := range strings.SplitSeq(string(page), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| number") {
			got = append(got, line)
		}
	}
	var want []string
	for _, info := range table {
		want = append(want, row(info))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("docs/RESULT-CODES.md differs from the table (-code +page):\n%s", diff)
	}
}

func TestCodesAreDistinctAndAscending(t *testing.T) {
	names := map[string]Code{}
	last := -1
	for _, info := range table {
		if int(info.Code) <= last {
			t.Errorf("code %d follows %d", info.Code, last)
		}
		last = int(info.Code)
		if other, ok := names[info.Name]; ok {
			t.Errorf("codes %d and %d share the name %q", other, info.Code, info.Name)
		}
		names[info.Name] = info.Code
	}
}

// TestRetryNeedsCertainty holds the rule that a caller is invited to send a
// request again only when it is certain that no target ran it.
func TestRetryNeedsCertainty(t *testing.T) {
	for _, info := range table {
		if info.Retry && info.Outcome != NotRun {
			t.Errorf("%s invites a retry but its outcome is %s", info.Name, info.Outcome)
		}
	}
}

func ExampleInfoOf() {
	info := InfoOf(NoCapacity)
	fmt.Println(uint16(info.Code), info.Name, info.Outcome)
	// Output: 110 no-capacity not-run
}
