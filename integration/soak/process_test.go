package soak

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/yuccaroute/yuccaroute/platform"
	"github.com/yuccaroute/yuccaroute/platform/platformtest"
	"github.com/yuccaroute/yuccaroute/standin/loopback"
)

// entryProgram replaces the program under test, to count what another revision does.
var entryProgram = flag.String("program", "", "a built yuccaentry; by default it is built from the sources")

// buildEntry builds the program under test once.
func buildEntry(t *testing.T) string {
	t.Helper()
	if *entryProgram != "" {
		return *entryProgram
	}
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
	vm       platformtest.VMSettings
	log      *os.File
	cmd      *exec.Cmd
	gone     chan struct{}
	// pids has the process ID of each VM by its name.
	pids *sync.Map
}

func newProcess(t *testing.T, program, dir string, vm platformtest.VMSettings, pids *sync.Map) *process {
	t.Helper()
	host := loopback.NewHost()
	vm.IP, vm.Entry, vm.Ready, vm.Directory = host.IP(), host.Address(), host.Address(), host.Address()
	vm.FirstPort = host.Port()
	vm.LastPort = vm.FirstPort
	p := &process{t: t, program: program, settings: filepath.Join(dir, vm.Name+".ini"), vm: vm, pids: pids}
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
	p.pids.Store(p.vm.Name, p.cmd.Process.Pid)
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
