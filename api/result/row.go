package result

import (
	"fmt"
	"strconv"
)

// Row renders one code as a line of the table in docs/RESULT-CODES.md: number,
// name, HTTP status, outcome, whether to send again, meaning.
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
