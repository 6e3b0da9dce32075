// Package soak holds a randomized test of the real programs as separate processes:
// entry VMs before stand-ins of targets and store, with faults injected from outside.
// The promises of docs/callers/promises.md are checked from what callers and targets
// see. Run it by hand with
//
//	go test ./integration/soak -run TestSoak -seeds 50 -seconds 20 -v
//
// TestSoakOfPromises has flags for its size, so that it runs at the rates of a deployment; -program runs
// another build than that of the sources.
//
// With -plot FOLDER each seed also leaves a plot of its answers and faults over time.
package soak
