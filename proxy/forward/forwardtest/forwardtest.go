// Package forwardtest helps tests to write the answers of targets.
package forwardtest

import (
	"regexp"
	"strings"

	"github.com/yuccaroute/yuccaroute/api/result"
)

var finalStatusLine = regexp.MustCompile(`(?m)^HTTP/1\.[01] [2-9]\d\d[^\r\n]*\r\n`)

// Name adds the exchange of a request to the answers in a text, as targets must. A text that names one stays as it is.
func Name(text, exchange string) string {
	if strings.Contains(text, result.HeaderExchange) {
		return text
	}
	return finalStatusLine.ReplaceAllStringFunc(text, func(line string) string {
		return line + result.HeaderExchange + ": " + exchange + "\r\n"
	})
}
