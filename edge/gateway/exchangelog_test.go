package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against refusals whose log line does not tell what showed that the request did not run.
func TestLogTellsWhatShowedThatARequestDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &target{id: "a"}
		f := newGatewayOn(t, pipeDialer(map[*target]script{s: func(w *bufio.Writer, r *http.Request, _ string) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 500 x\r\nX-Id: another\r\nContent-Length: 0\r\n\r\n")
			_, _ = io.WriteString(w, refusal(r))
			return true
		}}), s)
		f.options.RetryRatio, f.options.RetryExtra = 0, 0
		f.ask(context.Background(), "POST", "/once/x", "refused", time.Second, "")
		f.finish()
		line := f.lineOf(t, "gateway: request ended", "refused")
		got := fmt.Sprint(line["matched"], line["discarded"], line["not_run"])
		if diff := cmp.Diff("[own-id] [500 other-id] [stated]", got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
		if exchanges, _ := line["exchanges"].([]any); len(exchanges) != 1 || !strings.HasSuffix(fmt.Sprint(exchanges[0]), "#1") {
			t.Errorf("exchanges %v", line["exchanges"])
		}
	})
}

// lineOf returns the last log line with a message for a request.
func (f *fixture) lineOf(t *testing.T, message, id string) map[string]any {
	t.Helper()
	var found map[string]any
	for text := range strings.Lines(f.logText()) {
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) == nil && line["msg"] == message && line["id"] == id {
			found = line
		}
	}
	if found == nil {
		t.Fatalf("no line %q for %s", message, id)
	}
	return found
}
