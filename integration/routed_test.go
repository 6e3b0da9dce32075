package integration

import (
	"context"
	"encoding/json"
	"net"
	"os"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/config/settings"
	"github.com/yuccaroute/yuccaroute/node"
)

// routedCommand makes the test program a daemon whose connections to other
// regions go through fault proxies. A daemon's peer address is a part of its
// name, so that the VM list cannot show a proxy's address in its place.
const routedCommand = "routed-daemon"

// routes gives, for an address that a daemon connects to, the one of the fault
// proxy before it.
type routes map[string]string

func (r routes) dial(ctx context.Context, address string) (net.Conn, error) {
	if through, ok := r[address]; ok {
		address = through
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// runRouted runs a node until it is killed.
func runRouted(settingsFile, routesFile string) error {
	s, err := settings.Load(settingsFile)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(routesFile)
	if err != nil {
		return err
	}
	through := routes{}
	if err := json.Unmarshal(text, &through); err != nil {
		return err
	}
	n, err := node.New(node.Options{Settings: s, Logger: logrus.StandardLogger(), Dial: through.dial})
	if err != nil {
		return err
	}
	n.Start()
	select {}
}
