package lib

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Site has what the settings of all machines of a deployment share.
type Site struct {
	// Zones are the zones with their regions, in order.
	Zones [][2]string
	// Values are the other fields of the settings, by their names on the pages.
	Values map[string]string
	Store  string
	// Program is the built program, Template the template of its settings, Dir a temporary folder.
	Program, Template, Dir string
}

// VM is one machine with its process.
type VM struct {
	Name, Zone, Region               string
	IP, Entry, Ready, Directory, Log string
	settings                         string
	program                          string
	cmd                              *exec.Cmd
	done                             chan struct{}
}

// NewVM writes the settings of machine n, on a loopback address of its own.
func (s *Site) NewVM(n int, zone [2]string) (*VM, error) {
	v := &VM{Name: fmt.Sprintf("front-%s-%d", zone[0], n), Zone: zone[0], Region: zone[1], IP: fmt.Sprintf("127.88.%d.%d", os.Getpid()%250, n+1), program: s.Program}
	ports, err := freePorts(v.IP, 4)
	if err != nil {
		return nil, err
	}
	v.Entry, v.Ready, v.Directory = address(v.IP, ports[0]), address(v.IP, ports[1]), address(v.IP, ports[2])
	values := map[string]string{
		"node_name": v.Name, "zone": v.Zone, "region": v.Region, "ip": v.IP, "listen.front": v.Entry, "listen.ready_address": v.Ready,
		"listen.directory": v.Directory, "internal_ports.0": fmt.Sprint(ports[3]), "internal_ports.1": fmt.Sprint(ports[3]), "platform.address": s.Store,
	}
	for name, value := range s.Values {
		values[name] = value
	}
	template, err := os.ReadFile(s.Template)
	if err != nil {
		return nil, err
	}
	v.settings = filepath.Join(s.Dir, v.Name+".ini")
	v.Log = filepath.Join(s.Dir, v.Name+".log")
	return v, os.WriteFile(v.settings, []byte(fill(string(template), values, s.Zones)), 0o600)
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// fill fills in the template as far as the project's template needs it.
func fill(text string, values map[string]string, zones [][2]string) string {
	text = section.ReplaceAllStringFunc(text, func(all string) string {
		parts := section.FindStringSubmatch(all)
		if parts[1] != "zones" {
			if values[parts[1]] == "" {
				return ""
			}
			return strings.ReplaceAll(parts[2], "{{.}}", values[parts[1]])
		}
		var b strings.Builder
		for _, z := range zones {
			b.WriteString(strings.NewReplacer("{{@}}", z[0], "{{.}}", z[1]).Replace(parts[2]))
		}
		return b.String()
	})
	return placeholder.ReplaceAllStringFunc(text, func(all string) string { return values[strings.Trim(all, "{}")] })
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func freePorts(ip string, n int) (ports []int, err error) {
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// Start starts the process with the command of the deploy file.
func (v *VM) Start() error {
	out, err := os.OpenFile(v.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	v.cmd = exec.Command(v.program, "run", "--metrics-port", "9464")
	v.cmd.Env = append(os.Environ(), "YUCCAROUTE_SETTINGS="+v.settings)
	v.cmd.Stdout, v.cmd.Stderr = out, out
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(v.cmd, v.done)
	return nil
}

// Signal sends a signal to the process.
func (v *VM) Signal(s os.Signal) { _ = v.cmd.Process.Signal(s) }

// Ended is closed when the process has ended.
func (v *VM) Ended() <-chan struct{} { return v.done }

// Stop sends SIGTERM, and SIGKILL after the grace time, as the platform does.
func (v *VM) Stop(grace time.Duration) {
	v.Signal(syscall.SIGTERM)
	select {
	case <-v.done:
	case <-time.After(grace):
		v.Signal(syscall.SIGKILL)
		<-v.done
	}
}

// Kill ends the process.
func (v *VM) Kill() {
	if v.cmd != nil && v.cmd.Process != nil {
		v.Signal(syscall.SIGKILL)
		<-v.done
	}
}

// AwaitReady waits until the machine says that it is ready.
func (v *VM) AwaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for began := time.Now(); time.Since(began) < limit; time.Sleep(50 * time.Millisecond) {
		r, err := client.Get("http://" + v.Ready + "/-/ready")
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
