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

// BodyAdmitter decides, when the head of a request is there, whether its body may
// come.
type BodyAdmitter interface {
	// ReserveBody reserves memory for a body of length bytes, -1 if that is
	// not known. The header holds the fields whose names begin with "Yucca-",
	// Idempotency-Key, Expect and Transfer-Encoding; it must not be kept. A code
	// other than result.OK refuses the request.
	ReserveBody(h http.Header, length int64) (Reservation, result.Code)
}

// Reservation is memory reserved for one body.
type Reservation struct {
	// Timeout bounds how long the body may take to come, 0 for Options.BodyTime.
	Timeout time.Duration
	// MaxBytes bounds the body in bytes, 0 for Options.MaxBodyBytes.
	MaxBytes int64
	// LeadTime is how long before the last byte of a large body is expected its
	// request is handed over, 0 for not before; see Body. A body of unknown
	// length is never handed over before it is whole.
	LeadTime time.Duration
	// Release frees the memory; it is called once. It may be nil.
	Release func()
}

// Options configure a Server. Zero values take the defaults.
type Options struct {
	// Address is ip:port; port 0 takes a free one.
	Address string
	Handler http.Handler
	// BodyAdmitter may be nil; then only MaxBodyBytes bounds a body.
	BodyAdmitter BodyAdmitter
	// MaxHeaderBytes bounds request line and fields, MaxBodyBytes one body.
	MaxHeaderBytes int
	MaxBodyBytes   int
	// MaxConnections bounds callers' connections.
	MaxConnections int
	// HeaderTimeout and BodyTimeout bound how long a head and a body may take to come,
	// WriteTimeout how long a caller may take to read an answer. IdleTimeout is how
	// long a connection may wait for its next request.
	HeaderTimeout, BodyTimeout, WriteTimeout, IdleTimeout time.Duration
}

func (o *Options) setDefaults() {
	setInt(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setInt(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setInt(&o.MaxConnections, DefaultMaxConnections)
	setTime(&o.HeaderTimeout, DefaultHeaderTimeout)
	setTime(&o.BodyTimeout, DefaultBodyTimeout)
	setTime(&o.WriteTimeout, DefaultWriteTimeout)
	setTime(&o.IdleTimeout, DefaultIdleTimeout)
}

func setInt(v *int, standard int) {
	if *v <= 0 {
		*v = standard
	}
}

func setTime(v *time.Duration, standard time.Duration) {
	if *v <= 0 {
		*v = standard
	}
}
