package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/yuccaroute/yuccaroute/edge/logs/account"
)

const logLine = `{"msg":"gateway: request ended","time":"10:00:00.000","route":"r","service":"s","objective_ms":300,` +
	`"result":"ok","status":200,"sent":1,"affinity_key":"o","targets":["t"],"took_ms":[90],"ms":100}` + "\n"

// An engineer reads one VM's file and the rest from a pipe, and wants figures to compare.
func TestLogsAccount(t *testing.T) {
	png := filepath.Join(t.TempDir(), "day.png")
	root := newRoot()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetIn(strings.NewReader("vm-2 " + logLine))
	root.SetArgs([]string{"logs", "account", "--json", "--png", png, writeFile(t, "vm-1.log", logLine+"{bad\n"), "-"})
	if err := root.Execute(); err != nil {
		t.Fatal(err)
	}
	var a account.Report
	if err := json.Unmarshal(out.Bytes(), &a); err != nil {
		t.Fatal(err)
	}
	if a.Requests != 2 || a.BadLines != 1 || a.All.InObjective != 2 {
		t.Errorf("%+v", a)
	}
	if info, err := os.Stat(png); err != nil || info.Size() == 0 {
		t.Errorf("no plot: %v", err)
	}
}
