package soak

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"

	"github.com/yuccaroute/yuccaroute/platform"
	"github.com/yuccaroute/yuccaroute/platform/platformtest"
)

// buildEntry builds the program under test once.
func buildEntry(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "yuccaentry")
	out, err := exec.Command("go", "build", "-o", path, "github.com/yuccaroute/yuccaroute/cmd/yuccaentry").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// process is one entry VM. It is started anew after each end, as the platform does.
type process struct {
	t        *testing.T
	program  string
	settings string
	vm       platformtest.VM
	log      *os.File
	cmd      *exec.Cmd
	gone     chan struct{}
}

// freePort returns a port that is free for TCP and UDP.
func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func newProcess(t *testing.T, program, dir string, vm platformtest.VM) *process {
	t.Helper()
	local := func() string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(freePort(t))) }
	vm.Entry, vm.Ready, vm.Directory = local(), local(), local()
	vm.FirstPort = freePort(t)
	vm.LastPort = vm.FirstPort
	p := &process{t: t, program: program, settings: filepath.Join(dir, vm.Name+".ini"), vm: vm}
	if err := os.WriteFile(p.settings, []byte(platformtest.Settings(vm)), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, vm.Name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	p.log = log
	p.start()
	return p
}

func (p *process) start() {
	p.t.Helper()
	p.cmd = exec.Command(p.program, "run")
	p.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.gone = make(chan struct{})
	go func(cmd *exec.Cmd, gone chan struct{}) {
		// How it ended is the test's own doing, by signals.
		_ = cmd.Wait()
		close(gone)
	}(p.cmd, p.gone)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process and waits for that.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.gone
}

func (p *process) stop() {
	p.kill()
	_ = p.log.Close()
}
