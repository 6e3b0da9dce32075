// Package source reads templates and accounts from the store as they change
// and emits each account in force as a versioned item.
//
// Only the few nodes that watch the store run it. While nothing changes it
// costs one waiting watch.
package source
