package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
	"syscall"
	"time"
)

// vm is one entry VM: a process of the project's own program.
type vm struct {
	name, ip, zone                   string
	front, ready, directory, storeAt string
	file                             string
	process                          *exec.Cmd
	ended                            chan struct{}
}

// fleet starts entry VMs with the command of the deploy file and settings made of its template.
type fleet struct {
	root, dir string
	zones     map[string]string
	bounds    map[string]string
	memoryMB  int
	port      int
	vms       []*vm
}

// vliesbuchBounds are those of the Vliesbuch sheet.
func vliesbuchBounds() map[string]string {
	return map[string]string{
		"drain_s": "2", "grace_s": "6", "contact_s": "3", "evacuation_s": "5", "config_apply_s": "2", "ttl_max_s": "5",
		"retry_budget_ratio": "0.2", "budget_window_s": "10", "budget_extra": "60", "cold_overshoot": "1.5", "cold_slack": "5",
		"max_shift": "0.15",
	}
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in the template as DEPLOY.md says, as far as deploy/settings.ini uses it.
func render(text string, values map[string]string, zones map[string]string) string {
	text = section.ReplaceAllStringFunc(text, func(all string) string {
		m := section.FindStringSubmatch(all)
		if m[1] == "zones" {
			var names []string
			for zone := range zones {
				names = append(names, zone)
			}
			sort.Strings(names)
			out := ""
			for _, zone := range names {
				out += strings.NewReplacer("{{@}}", zone, "{{.}}", zones[zone]).Replace(m[2])
			}
			return out
		}
		if values[m[1]] == "" {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", values[m[1]])
	})
	return placeholder.ReplaceAllStringFunc(text, func(all string) string {
		return values[placeholder.FindStringSubmatch(all)[1]]
	})
}

func (f *fleet) add(zone, storeAt string) *vm {
	i := len(f.vms)
	v := &vm{name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: vmAddress(i), zone: zone, storeAt: storeAt}
	v.front, v.ready, v.directory = fmt.Sprintf("%s:%d", v.ip, f.port), fmt.Sprintf("%s:%d", v.ip, f.port+1), fmt.Sprintf("%s:%d", v.ip, f.port+2)
	f.vms = append(f.vms, v)
	return v
}

// start starts the process of a VM.
func (f *fleet) start(v *vm) error {
	template, err := os.ReadFile(filepath.Join(f.root, "deploy", "settings.ini"))
	if err != nil {
		return err
	}
	values := map[string]string{
		"node_name": v.name, "zone": v.zone, "region": f.zones[v.zone], "ip": v.ip,
		"listen.front": v.front, "listen.ready_address": v.ready, "listen.directory": v.directory,
		"internal_ports.0": fmt.Sprint(f.port + 10), "internal_ports.1": fmt.Sprint(f.port + 25),
		"limits.memory_mb": fmt.Sprint(f.memoryMB), "limits.max_fds": "4100", "limits.cpu_share": "0.32", "limits.link_mbps": "1000",
		"platform.address": v.storeAt, "platform.min_ttl_s": "1",
	}
	for name, value := range f.bounds {
		values["bounds."+name] = value
	}
	v.file = filepath.Join(f.dir, v.name+".ini")
	if err := os.WriteFile(v.file, []byte(render(string(template), values, f.zones)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, v.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	v.process = exec.Command(filepath.Join(f.root, "target", "yuccaentry"), "run", "--metrics-port", "9464")
	v.process.Dir = f.root
	v.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C", "YUCCAROUTE_SETTINGS=" + v.file}
	v.process.Stdout, v.process.Stderr = log, log
	if err := v.process.Start(); err != nil {
		return err
	}
	v.ended = make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) {
		_ = p.Wait()
		close(ended)
	}(v.process, v.ended)
	return nil
}

func (v *vm) signal(s syscall.Signal) { _ = v.process.Process.Signal(s) }

// isReady asks the VM's ready address, as the platform does.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + v.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, v := range f.vms {
			if v.isReady() {
				n++
			}
		}
		if n == len(f.vms) {
			return nil
		}
	}
	return fmt.Errorf("not all VMs are ready")
}

func (f *fleet) stopAll() {
	for _, v := range f.vms {
		if v.process == nil {
			continue
		}
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		<-v.ended
	}
}

const (
	// maxVMs is the largest number of VMs of a case, portsPerVM how many ports each of them has.
	maxVMs     = 7
	portsPerVM = 30
)

// killAll ends all processes without waiting for them.
func (f *fleet) killAll() {
	for _, v := range f.vms {
		if v.process != nil && v.process.Process != nil {
			v.signal(syscall.SIGKILL)
		}
	}
}

// freePort returns the first of portsPerVM ports that are free on the addresses of all VMs.
func freePort() (int, error) {
next:
	for port := 21000; port < 32000; port += 50 {
		for i := range maxVMs * portsPerVM {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", vmAddress(i/portsPerVM), port+i%portsPerVM))
			if err != nil {
				continue next
			}
			_ = l.Close()
		}
		return port, nil
	}
	return 0, fmt.Errorf("no free ports")
}

// vmAddress returns the loopback address of the i-th VM.
func vmAddress(i int) string { return fmt.Sprintf("127.0.77.%d", i+1) }
