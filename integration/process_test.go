package integration

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// exitPatience is how long a process may take to end after it was told to.
const exitPatience = 20 * time.Second

// process is a program under test.
type process struct {
	t    *testing.T
	name string
	args []string
	// log is where its output goes; it is shown when the test fails.
	log string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// startProcess starts a program and kills it at the end of the test.
func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{
		t: t, name: name, args: append([]string{program}, args...),
		log: filepath.Join(t.TempDir(), name+".log"),
	}
	p.start()
	t.Cleanup(p.cleanUp)
	return p
}

func (p *process) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		p.t.Fatalf("start %s: %v", p.name, err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		defer close(done)
		defer log.Close()
		_ = cmd.Wait()
	}()
}

func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// signal sends to this process by its id and to nothing else.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

func (p *process) pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// kill ends the process at once and waits until it is gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited()
}

// terminate asks for a planned stop and reports whether it ended in time.
func (p *process) terminate() bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited():
		return true
	case <-time.After(exitPatience):
		return false
	}
}

func (p *process) exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// exitCode is -1 until the process has exited by itself.
func (p *process) exitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

func (p *process) cleanUp() {
	p.kill()
	if p.t.Failed() {
		p.showLog()
	}
}

func (p *process) showLog() {
	const most = 4 << 10
	text, err := os.ReadFile(p.log)
	if err != nil {
		return
	}
	if len(text) > most {
		text = text[len(text)-most:]
	}
	p.t.Logf("end of the log of %s:\n%s", p.name, text)
}
