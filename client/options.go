package client

import (
	"cmp"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// Defaults of the options.
const (
	DefaultTimeout        = 10 * time.Second
	DefaultMaxConnections = 64
	DefaultMaxAttempts    = 3
	DefaultRetryShare     = 0.1
	DefaultMaxAnswerBytes = 64 << 20
	DefaultConnectTimeout = time.Second
	DefaultLookupTimeout  = 2 * time.Second
)

// Options are the settings of a client. Zero values read as the defaults.
type Options struct {
	// Account is the client account. Required.
	Account model.AccountName
	// Nodes are the addresses (host:port) of the entry VMs to ask first. The
	// entry VMs found by look-up are asked too. Required, at least one.
	Nodes []string
	// LocalAddr is the source address of all connections; not set: the
	// operating system chooses.
	LocalAddr netip.Addr
	// Opened is given each connection that was opened and returns the one to
	// use, for example one that counts or delays what passes. Nil leaves it.
	Opened func(net.Conn) net.Conn
	// Timeout bounds a request that has no deadline of its own.
	Timeout time.Duration
	// ConnectTimeout bounds the opening of one connection.
	ConnectTimeout time.Duration
	// LookupTimeout bounds one look-up at one node.
	LookupTimeout time.Duration
	// MaxConnections bounds the open connections to one entry VM.
	MaxConnections int
	// MaxAttempts bounds how often one request is sent, the first included.
	MaxAttempts int
	// RetryShare is the share of fresh requests that may be added as retries
	// after a refusal or a lost answer, above 0 to 1. A connection that could
	// not be opened adds no load and does not count.
	RetryShare float64
	// MaxAnswerBytes bounds an answer's body.
	MaxAnswerBytes int64
	// Seed seeds the jitter; callers that share a seed refresh together.
	Seed uint64
}

func (o *Options) complete() error {
	if o.Account == "" {
		return errors.New("account is missing")
	}
	if len(o.Nodes) == 0 {
		return errors.New("nodes are missing: give at least one address of an entry VM")
	}
	if o.Timeout < 0 || o.ConnectTimeout < 0 || o.LookupTimeout < 0 {
		return errors.New("a timeout is negative")
	}
	if o.MaxConnections < 0 || o.MaxAttempts < 0 || o.MaxAnswerBytes < 0 {
		return errors.New("a bound is negative")
	}
	if o.RetryShare < 0 || o.RetryShare > 1 {
		return errors.Errorf("retry share is %v, permitted are 0 to 1", o.RetryShare)
	}
	o.Timeout = cmp.Or(o.Timeout, DefaultTimeout)
	o.ConnectTimeout = cmp.Or(o.ConnectTimeout, DefaultConnectTimeout)
	o.LookupTimeout = cmp.Or(o.LookupTimeout, DefaultLookupTimeout)
	o.MaxConnections = cmp.Or(o.MaxConnections, DefaultMaxConnections)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, DefaultMaxAttempts)
	o.RetryShare = cmp.Or(o.RetryShare, DefaultRetryShare)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	return nil
}
