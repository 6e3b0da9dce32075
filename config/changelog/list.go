package changelog

import (
	"fmt"
	"strings"
)

// namesInMessage bounds how many names a message lists.
const namesInMessage = 10

func listSome(names []string) string {
	if len(names) <= namesInMessage {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:namesInMessage], ", "), len(names)-namesInMessage)
}
