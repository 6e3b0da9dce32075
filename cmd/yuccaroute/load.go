package main

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/goccy/go-json"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
	"github.com/yuccaroute/yuccaroute/cmd/internal/render"
	"github.com/yuccaroute/yuccaroute/edge/loadview"
	"github.com/yuccaroute/yuccaroute/edge/regionplan"
	"github.com/yuccaroute/yuccaroute/edge/whatif"
)

// maxLoadBytes bounds the answer of a VM: 256 accounts and tens of services take less than 1 MB.
const maxLoadBytes = 8 << 20

// Flags of the changes that load answers for.
const (
	flagDrain      = "drain"
	flagSetRegions = "set-regions"
	flagAddTargets = "add-targets"
)

// loadFlags are the flags of load.
type loadFlags struct {
	json                          bool
	drain, setRegions, addTargets []string
}

func newLoad(c *connection) *cobra.Command {
	f := &loadFlags{}
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Show what an entry VM knows of the load, or what a change would do to it",
		Long: "Show what an entry VM knows of the load: demand by allowed regions, capacity,\n" +
			"working sets, promised returns and refused accounts. --node is the address of\n" +
			"the VM's metrics or of its first port for traffic between VMs.\n\n" +
			"--drain, --set-regions and --add-targets change nothing: they print load and\n" +
			"utilization of each region before and after the change, by the region plan and\n" +
			"the demand that the VM knows now, and which demand no region would have room\n" +
			"for. Several changes are applied together; drains come last. Demand is known by\n" +
			"its allowed regions, not by account. Exit code 1: the change would leave more\n" +
			"demand without room.",
		Example: "  yuccaroute load --node http://10.0.0.1:9464\n" +
			"  yuccaroute load --node http://10.0.0.1:9464 --drain kr-busan\n" +
			"  yuccaroute load --node http://10.0.0.1:9464 --set-regions lookup:FROM=kr-busan:TO=kr-busan,kr-seoul --add-targets lookup:kr-busan:80",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runLoad(cmd, c, f) },
	}
	cmd.Flags().BoolVar(&f.json, "json", false, "write JSON; the same as --output json")
	cmd.Flags().StringArrayVar(&f.drain, flagDrain, nil, "region that would lose all its capacity; repeatable")
	cmd.Flags().StringArrayVar(&f.setRegions, flagSetRegions, nil, "SERVICE:FROM=A,B:TO=C: demand restricted to the regions A and B would be restricted to C; repeatable")
	cmd.Flags().StringArrayVar(&f.addTargets, flagAddTargets, nil, "SERVICE:REGION:SLOTS: slots that targets would add; repeatable")
	return cmd
}

func runLoad(cmd *cobra.Command, c *connection, f *loadFlags) error {
	format := render.Format(c.output)
	if format != render.Table && format != render.JSON {
		return program.Exit(program.ExitUsage, errors.Errorf("--output is %q; permitted: table, json", c.output))
	}
	if f.json {
		format = render.JSON
	}
	changes, err := f.changes()
	if err != nil {
		return program.Exit(program.ExitUsage, err)
	}
	view, page, err := c.fetchLoad(cmd)
	if err != nil {
		return err
	}
	printer := render.New(cmd.OutOrStdout(), format)
	if len(changes) == 0 {
		if format == render.JSON {
			_, err := cmd.OutOrStdout().Write(append(page, '\n'))
			return program.Exit(program.ExitFailed, err)
		}
		return printer.Load(view)
	}
	if len(view.Services) == 0 {
		return program.Exit(program.ExitUnavailable, errors.Errorf("VM %s knows no service yet, so that it cannot tell what a change would do", view.VM))
	}
	before, err := stateOf(view)
	if err != nil {
		return program.Exit(program.ExitFailed, err)
	}
	after := before.Clone()
	for _, change := range changes {
		if err := change(after); err != nil {
			return program.Exit(program.ExitUsage, err)
		}
	}
	result := whatif.Compare(before, after)
	if err := printer.WhatIf(result); err != nil {
		return err
	}
	if result.IsWorse() {
		return program.Exit(program.ExitFailed, errors.Errorf("the change would leave %.1f slots of demand without room, %.1f more than now",
			result.AfterSlots, result.AfterSlots-result.BeforeSlots))
	}
	return nil
}

// loadChange is one change of a state; its errors name the flag.
type loadChange func(*whatif.State) error

// changes parses the flags. Drains come last, so that targets added to a drained region do not count.
func (f *loadFlags) changes() (changes []loadChange, err error) {
	for _, kind := range []struct {
		flag   string
		values []string
		parse  func(string) (loadChange, error)
	}{
		{flagSetRegions, f.setRegions, parseSetRegions},
		{flagAddTargets, f.addTargets, parseAddTargets},
		{flagDrain, f.drain, parseDrain},
	} {
		for _, value := range kind.values {
			change, err := kind.parse(value)
			if err != nil {
				return nil, errors.Wrapf(err, "--%s %q", kind.flag, value)
			}
			changes = append(changes, func(s *whatif.State) error {
				return errors.Wrapf(change(s), "--%s %q", kind.flag, value)
			})
		}
	}
	return changes, nil
}

func parseDrain(region string) (loadChange, error) {
	if region == "" {
		return nil, errors.New("no region given")
	}
	return func(s *whatif.State) error { return s.Drain(region) }, nil
}

func parseSetRegions(value string) (loadChange, error) {
	service, sets, ok := strings.Cut(value, ":FROM=")
	from, to, both := strings.Cut(sets, ":TO=")
	if !ok || !both || service == "" || from == "" || to == "" {
		return nil, errors.New("want SERVICE:FROM=REGION,...:TO=REGION,...")
	}
	return func(s *whatif.State) error {
		return s.SetRegions(service, strings.Split(from, ","), strings.Split(to, ","))
	}, nil
}

func parseAddTargets(value string) (loadChange, error) {
	parts := strings.Split(value, ":")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" {
		return nil, errors.New("want SERVICE:REGION:SLOTS")
	}
	slots, err := strconv.ParseFloat(parts[2], 64)
	if err != nil {
		return nil, errors.Errorf("SLOTS is %q, which is no number", parts[2])
	}
	return func(s *whatif.State) error { return s.AddTargets(parts[0], parts[1], slots) }, nil
}

// stateOf returns the demand and capacity of a view.
func stateOf(v *loadview.View) (*whatif.State, error) {
	s, err := whatif.New(v.Regions)
	if err != nil {
		return nil, err
	}
	for _, service := range v.Services {
		one := whatif.Service{Name: service.Service, Capacity: make([]float64, len(s.Regions)), Demand: make(map[regionplan.Source]float64)}
		for _, r := range service.Regions {
			i, err := s.Region(r.Region)
			if err != nil {
				return nil, errors.Wrap(err, "answer of the VM")
			}
			one.Capacity[i] = r.CapacitySlots
		}
		for _, d := range service.Demand {
			i, err := s.Region(d.CallersRegion)
			if err != nil {
				return nil, errors.Wrap(err, "answer of the VM")
			}
			set, err := s.Set(d.AllowedRegions)
			if err != nil {
				return nil, errors.Wrap(err, "answer of the VM")
			}
			one.Demand[regionplan.Source{Region: i, Allowed: set}] += d.DemandSlots
		}
		s.Services = append(s.Services, one)
	}
	return s, nil
}

// fetchLoad asks the nodes in their order until one answers.
func (c *connection) fetchLoad(cmd *cobra.Command) (*loadview.View, []byte, error) {
	if len(c.options.Nodes) == 0 {
		return nil, nil, program.Exit(program.ExitUsage, errors.New("no node given; use --node http://ADDRESS:PORT"))
	}
	var urls []string
	for _, node := range c.options.Nodes {
		text := node
		if !strings.Contains(text, "://") {
			text = "http://" + text
		}
		u, err := url.Parse(text)
		if err != nil || u.Scheme != "http" || u.Port() == "" {
			return nil, nil, program.Exit(program.ExitUsage, errors.Errorf("--node %q; want http://ADDRESS:PORT", node))
		}
		urls = append(urls, u.JoinPath(loadview.Path).String())
	}
	var failure error
	for _, u := range urls {
		ctx, cancel := context.WithTimeout(cmd.Context(), c.options.Timeout)
		view, page, err := fetchLoadFrom(ctx, u)
		cancel()
		if err == nil {
			return view, page, nil
		}
		failure = err
		cmd.PrintErrf("node gave no result: %v\n", err)
	}
	return nil, nil, program.Exit(program.ExitUnavailable, failure)
}

func fetchLoadFrom(ctx context.Context, u string) (*loadview.View, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	page, err := io.ReadAll(io.LimitReader(response.Body, maxLoadBytes))
	if err != nil {
		return nil, nil, errors.Wrap(err, u)
	}
	if response.StatusCode != http.StatusOK {
		return nil, nil, errors.Errorf("%s: status %d; is it the metrics address of an entry VM?", u, response.StatusCode)
	}
	view := &loadview.View{}
	if err := json.Unmarshal(page, view); err != nil {
		return nil, nil, errors.Wrapf(err, "%s: cannot decode the load", u)
	}
	return view, page, nil
}
