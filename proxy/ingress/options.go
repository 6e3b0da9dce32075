package ingress

import (
	"net/http"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// Defaults of Options.
const (
	DefaultMaxHeaderBytes = 32 << 10
	DefaultMaxBodyBytes   = 64 << 20
	DefaultMaxConnections = 8192
	DefaultHeaderTimeout  = 10 * time.Second
	DefaultBodyTimeout    = 30 * time.Second
	DefaultWriteTimeout   = 10 * time.Second
	DefaultIdleTimeout    = 2 * time.Minute
)

// BodyAdmitter decides, once a request header is complete, whether to accept
// the body.
type BodyAdmitter interface {
	// ReserveBody reserves memory for a body of length bytes, -1 if unknown.
	// The header holds the fields whose names begin with "Yucca-",
	// Idempotency-Key, Expect and Transfer-Encoding; it must not be retained. A
	// code other than result.OK rejects the request.
	ReserveBody(h http.Header, length int64) (Reservation, result.Code)
}

// Reservation is memory reserved for one body.
type Reservation struct {
	// Timeout bounds the time to receive the body; 0 means Options.BodyTimeout.
	Timeout time.Duration
	// MaxBytes bounds the size of the body; 0 means Options.MaxBodyBytes.
	MaxBytes int64
	// LeadTime is how long before the expected arrival of the last byte a
	// request with a large body is dispatched; 0 means after the body is
	// complete. A body of unknown length is always complete before dispatch.
	LeadTime time.Duration
	// Release frees the memory. It is called once and may be nil.
	Release func()
}

// Options configures a Server. Zero values select the defaults.
type Options struct {
	// Address is ip:port; port 0 selects a free port.
	Address string
	Handler http.Handler
	// BodyAdmitter may be nil; then only MaxBodyBytes limits a body.
	BodyAdmitter BodyAdmitter
	// MaxHeaderBytes limits the request line and header, MaxBodyBytes one body.
	MaxHeaderBytes int
	MaxBodyBytes   int
	// MaxConnections limits client connections.
	MaxConnections int
	// HeaderTimeout and BodyTimeout bound receiving a header and a body,
	// WriteTimeout how long a client may take to read a response, IdleTimeout
	// the wait for the next request.
	HeaderTimeout, BodyTimeout, WriteTimeout, IdleTimeout time.Duration
}

func (o *Options) setDefaults() {
	defaultInt(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	defaultInt(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	defaultInt(&o.MaxConnections, DefaultMaxConnections)
	defaultDuration(&o.HeaderTimeout, DefaultHeaderTimeout)
	defaultDuration(&o.BodyTimeout, DefaultBodyTimeout)
	defaultDuration(&o.WriteTimeout, DefaultWriteTimeout)
	defaultDuration(&o.IdleTimeout, DefaultIdleTimeout)
}

func defaultInt(v *int, def int) {
	if *v <= 0 {
		*v = def
	}
}

func defaultDuration(v *time.Duration, def time.Duration) {
	if *v <= 0 {
		*v = def
	}
}
