package result

import (
	"fmt"
	"strconv"
)

// TableHeader is the head of the table in docs/RESULT-CODES.md.
const TableHeader = "| number | name | HTTP | outcome | send again | meaning |\n|---|---|---|---|---|---|"

// Row renders one code as a line of that table.
func Row(i Info) string {
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
