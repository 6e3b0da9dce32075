package integration

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/membership"
)

// configPlaces are the failure domains of the nodes; in each region two nodes
// watch the store and the others receive from nodes.
var configPlaces = []model.Place{
	{Name: "tirol-a", Region: "tirol"}, {Name: "tirol-b", Region: "tirol"},
	{Name: "salzburg-a", Region: "salzburg"}, {Name: "salzburg-b", Region: "salzburg"},
}

// configNode is a node process with its administration API.
type configNode struct {
	name  string
	p     *process
	admin string
	peers string
	// starts counts its processes.
	starts int
}

// startConfigNodes starts entry VMs by themselves. tls is the section [tls] of a
// node's settings, "" for none.
func (f *farm) startConfigNodes(count int, tls func(i int) string) []*configNode {
	f.t.Helper()
	var nodes []*configNode
	for i := range count {
		place := configPlaces[i%len(configPlaces)]
		n := &configNode{name: fmt.Sprintf("node-%d", i), admin: f.freeAddress(), peers: f.freeAddress()}
		callers := f.freeAddress()
		file := filepath.Join(f.t.TempDir(), n.name+".ini")
		text := fmt.Sprintf(nodeSettings, n.name, place.Region, place.Name, callers, n.admin, n.peers,
			f.platformPath.address(), f.platformPath.address()) + tls(i)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			f.t.Fatal(err)
		}
		n.p = startProcess(f.t, n.name, daemonProgram, "--settings", file)
		path := startFaultProxy(f.t, f.freeAddress(), "to "+n.name, callers)
		f.entries, f.entryPaths = append(f.entries, n.p), append(f.entryPaths, path)
		vm := membership.VM{
			ID: n.name, Role: membership.RoleEntry, Region: place.Region, Place: place.Name,
			Address: path.address(), Peer: netip.MustParseAddrPort(n.peers),
		}
		f.vms = append(f.vms, vm)
		nodes = append(nodes, n)
	}
	return nodes
}

// plainTLS is the section of nodes without keys.
func plainTLS(int) string { return "" }

// httpClientFor returns a client of the administration API that gives up.
func httpClientFor(t *testing.T, patience time.Duration) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: patience}
}

func (n *configNode) api(c *http.Client) *client.Client { return client.New("http://"+n.admin, "", c) }
