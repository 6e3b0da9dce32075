// Command yuccaentry runs one entry VM on the users' platform.
//
// SIGTERM shuts the VM down gracefully. SIGHUP reads and checks the settings file; a running
// VM does not apply them.
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
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/quota"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/platform"
	"github.com/yuccaroute/yuccaroute/platform/kvclient"
	"github.com/yuccaroute/yuccaroute/store"
)

const (
	// watchTimeout is the long-poll time of a watch. It limits how long a dead connection to
	// the store goes unnoticed, and so how long a change can be delayed.
	watchTimeout = 3 * time.Second
	// memoryLimitShare is the Go runtime's soft memory limit as a share of the VM's memory.
	memoryLimitShare = 0.6
	// gcPercent is below Go's default, because memory is scarcer than processor time.
	gcPercent = 40
	// flushTimeout limits the wait for the last log lines; it must be shorter than the part
	// of the grace period that a shutdown leaves unused.
	flushTimeout = 150 * time.Millisecond
	// targetFiles is the number of file descriptors reserved for connections to targets.
	targetFiles = 1200
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
		RunE: func(*cobra.Command, []string) error { return runVM(file, metricsPort) },
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
		"settings file; default from "+platform.SettingsVariable)
	run.Flags().IntVar(&metricsPort, "metrics-port", 0, "additional port for the metrics, which the peer port serves too; 0 disables it")
	root.AddCommand(run, check)
	return root
}

// runVM runs the VM until a signal to stop.
func runVM(file string, metricsPort int) error {
	s, err := platform.LoadSettings(file)
	if err != nil {
		return program.Exit(program.ExitUsage, err)
	}
	memory := int64(s.Limits.MemoryMB) << 20
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(memory)))
	logger := logs.New(os.Stdout)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	client, err := kvclient.New(kvclient.Options{Address: s.Store.Address, WatchWait: watchTimeout, Restored: logRestored(logger)})
	if err != nil {
		return program.Exit(program.ExitUsage, err)
	}
	e, err := entry.Start(newOptions(s, client, memory, metricsPort, logger))
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
	logs.Flush(logger, flushTimeout)
	return nil
}

// logRestored returns a function that logs that the store was restored from a copy.
func logRestored(logger *logrus.Logger) func(from, to uint64) {
	return func(from, to uint64) {
		logger.WithFields(logrus.Fields{"part": "store", "from_era": from, "era": to}).
			Warn("store: restored from a copy, it may lack changes that it had acknowledged")
	}
}

// reload checks the settings. The ones a running VM uses, its addresses and its failure
// domain, only change with a restart.
func reload(file string, logger *logrus.Logger) {
	log := logger.WithField("part", "entry")
	if _, err := platform.LoadSettings(file); err != nil {
		log.WithError(err).Error("entry: settings are not valid, the old ones stay in force")
		return
	}
	log.Info("entry: settings read again")
}

// revokeTime returns how long keys are accepted without contact, 0 for without end.
func revokeTime(s *platform.Settings) time.Duration {
	if !s.Bounds.RevokeOffline {
		return 0
	}
	return platform.Duration(s.Bounds.Revoke)
}

func newOptions(s *platform.Settings, client store.KV, memory int64, metricsPort int, logger *logrus.Logger) entry.Options {
	items := platform.Codec{}
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
			Fields: platform.HeaderNames, ResolvePath: platform.PathResolve, ReadyPath: platform.PathReady,
			VMKey: items.VMKey(s.Node.Name), ParseCaller: platform.ParseCaller, EncodeAddresses: platform.EncodeAddresses,
			ReadStatement: platform.TargetStatement,
		},
		Codec: items, QuarantineKeys: items, KV: client, Logger: logger,
		MemoryBytes: memory, MaxConnections: max(64, s.Limits.MaxFiles-targetFiles),
		Grace: platform.Duration(s.Bounds.Grace), MaxTTL: platform.Duration(s.Bounds.MaxTTL),
		RetryRatio: s.Bounds.RetryRatio, RetryExtra: s.Bounds.RetryExtra,
		Quotas: quota.Bounds{
			Window: platform.Duration(s.Bounds.QuotaWindow), Overshoot: s.Bounds.QuotaOvershoot, Slack: s.Bounds.QuotaSlack,
		},
		FleetSizeKey: items.FleetSizeKey(), RevokeTime: revokeTime(s), Policy: policyOf(s),
	}
}

// policyOf returns the optional decisions that the settings select.
func policyOf(s *platform.Settings) placing.Policy {
	p := &s.Policy
	return placing.Policy{
		RegionPlan: platform.IsOn(p.RegionPlan), StatedLoad: platform.IsOn(p.StatedLoad),
		WorkingSet: platform.IsOn(p.WorkingSet), RotationPeriod: platform.Duration(p.RotationSeconds),
		Returns: platform.IsOn(p.Returns), PromisedShare: p.PromisedShare, FairShares: platform.IsOn(p.FairShares),
	}
}
