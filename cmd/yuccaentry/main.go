// Command yuccaentry runs one entry VM on the users' platform.
//
// SIGTERM is a planned stop: the VM leaves the directory, ends the work in hand
// and exits. SIGHUP reads the settings again.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
	"github.com/yuccaroute/yuccaroute/edge/entry"
	"github.com/yuccaroute/yuccaroute/edge/logs"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/platform"
	"github.com/yuccaroute/yuccaroute/platform/kvclient"
	"github.com/yuccaroute/yuccaroute/store"
)

const (
	// watchWait is how long the store holds a watch. A watch whose connection went
	// silent is noticed after it, which must be within the time that a change has
	// to come into force.
	watchWait = 3 * time.Second
	// heapShare of the memory is what the collector aims for.
	heapShare = 0.6
	// collectAt is by how many percent the heap grows between two collections: memory is
	// dearer than processor time by far.
	collectAt = 40
	// flushTime bounds the wait for the last log lines; it is within what a planned stop
	// leaves of its grace time.
	flushTime = 150 * time.Millisecond
	// filesForTargets are descriptors that callers' connections leave free.
	filesForTargets = 1200
)

func main() {
	err := newRoot().Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "yuccaentry:", err)
	}
	os.Exit(program.CodeOf(err))
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use: "yuccaentry", Short: "Entry VM on the users' platform", Version: program.Version(),
		SilenceErrors: true, SilenceUsage: true,
	}
	var file string
	var metricsPort int
	run := &cobra.Command{
		Use: "run", Short: "Serve until a signal", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(file, metricsPort) },
	}
	check := &cobra.Command{
		Use: "check", Short: "Check the settings and exit", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := platform.LoadSettings(file)
			if err != nil {
				return program.Exit(program.ExitUsage, err)
			}
			return nil
		},
	}
	root.PersistentFlags().StringVar(&file, "settings", os.Getenv(platform.SettingsVariable),
		"file with the settings; default from "+platform.SettingsVariable)
	run.Flags().IntVar(&metricsPort, "metrics-port", 0, "port that shows the metrics, beside the first port between VMs; 0 for none")
	root.AddCommand(run, check)
	return root
}

// serve runs the VM until a signal.
func serve(file string, metricsPort int) error {
	s, err := platform.LoadSettings(file)
	if err != nil {
		return program.Exit(program.ExitUsage, err)
	}
	memory := int64(s.Limits.MemoryMB) << 20
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(heapShare * float64(memory)))
	logger := logs.New(os.Stdout)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	client, err := kvclient.New(kvclient.Options{Address: s.Store.Address, Wait: watchWait})
	if err != nil {
		return program.Exit(program.ExitUsage, err)
	}
	e, err := entry.Start(optionsOf(s, client, memory, metricsPort, logger))
	if err != nil {
		return program.Exit(program.ExitFailed, err)
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		reload(file, logger)
	}
	e.Shutdown()
	logs.Flush(logger, flushTime)
	return nil
}

// reload reads the settings again. What a running VM uses of them, its addresses
// and its place, cannot change before it starts anew.
func reload(file string, logger *logrus.Logger) {
	log := logger.WithField("part", "entry")
	if _, err := platform.LoadSettings(file); err != nil {
		log.WithError(err).Error("entry: settings are not valid, the old ones stay in force")
		return
	}
	log.Info("entry: settings read again")
}

func optionsOf(s *platform.Settings, client store.KV, memory int64, metricsPort int, logger *logrus.Logger) entry.Options {
	items := platform.Items{}
	peer := fmt.Sprintf("%s:%d", s.Node.IP, s.Ports.First)
	metrics := ""
	if metricsPort > 0 {
		metrics = fmt.Sprintf("%s:%d", s.Node.IP, metricsPort)
	}
	return entry.Options{
		VM: site.VM{
			Name: s.Node.Name, Region: s.Node.Region, Zone: s.Node.Zone, EntryAddress: s.Listen.Entry, PeerAddress: peer,
			Incarnation: uint64(time.Now().UnixMicro()), LinkMbps: s.Limits.LinkMbps,
		},
		EntryAddress: s.Listen.Entry, ReadyAddress: s.Listen.Ready, DirectoryAddress: s.Listen.Directory,
		PeerAddress: peer, MetricsAddress: metrics, RegionOf: s.Zones,
		Names: entry.Names{
			Fields: platform.Fields, ResolvePath: platform.PathResolve, ReadyPath: platform.PathReady,
			VMKey: items.VMKey(s.Node.Name), ParseCaller: platform.Caller, EncodeAddresses: platform.Resolved,
		},
		Codec: items, QuarantineKeys: items, KV: client, Logger: logger,
		MemoryBytes: memory, MaxConnections: max(64, s.Limits.MaxFiles-filesForTargets),
		Grace: platform.Duration(s.Bounds.Grace), MaxTTL: platform.Duration(s.Bounds.MaxTTL),
		RetryRatio: s.Bounds.RetryRatio, RetryExtra: s.Bounds.RetryExtra,
	}
}
