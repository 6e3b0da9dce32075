// Package target is a small HTTP target that takes the platform's place in
// tests and demonstrations: it has slots and a queue of its own, starts cold,
// sheds, drains, honours deadlines and cancellation, can mislead about its
// health and load, and keeps a ledger of every request that ran.
package target
