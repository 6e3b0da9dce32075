package ingress

import (
	"net/http"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// Defaults of Options.
const (
	DefaultHeadBytes   = 32 << 10
	DefaultBodyBytes   = 64 << 20
	DefaultConnections = 8192
	DefaultHeadTime    = 10 * time.Second
	DefaultBodyTime    = 30 * time.Second
	DefaultAnswerTime  = 10 * time.Second
	DefaultIdleTime    = 2 * time.Minute
)

// Bodies decides, when the head of a request is there, whether its body may
// come.
type Bodies interface {
	// ReserveBody reserves memory for a body of length bytes, -1 if that is
	// not known. The header holds the fields whose names begin with "Yucca-",
	// Idempotency-Key, Expect and Transfer-Encoding; it must not be kept. A code
	// other than result.OK refuses the request.
	ReserveBody(h http.Header, length int64) (Reservation, result.Code)
}

// Reservation is memory reserved for one body.
type Reservation struct {
	// Time bounds how long the body may take to come, 0 for Options.BodyTime.
	Time time.Duration
	// Limit bounds the body in bytes, 0 for Options.MaxBodyBytes.
	Limit int64
	// Ahead is how long before the last byte of a large body is expected its
	// request is handed over, 0 for not before; see Body. A body of unknown
	// length is never handed over before it is whole.
	Ahead time.Duration
	// Release frees the memory; it is called once. It may be nil.
	Release func()
}

// Options configure a Server. Zero values take the defaults.
type Options struct {
	// Address is ip:port; port 0 takes a free one.
	Address string
	Handler http.Handler
	// Bodies may be nil; then only MaxBodyBytes bounds a body.
	Bodies Bodies
	// MaxHeadBytes bounds request line and fields, MaxBodyBytes one body.
	MaxHeadBytes int
	MaxBodyBytes int
	// MaxConnections bounds callers' connections.
	MaxConnections int
	// HeadTime and BodyTime bound how long a head and a body may take to come,
	// AnswerTime how long a caller may take to read an answer. IdleTime is how
	// long a connection may wait for its next request.
	HeadTime, BodyTime, AnswerTime, IdleTime time.Duration
}

func (o *Options) setDefaults() {
	setInt(&o.MaxHeadBytes, DefaultHeadBytes)
	setInt(&o.MaxBodyBytes, DefaultBodyBytes)
	setInt(&o.MaxConnections, DefaultConnections)
	setTime(&o.HeadTime, DefaultHeadTime)
	setTime(&o.BodyTime, DefaultBodyTime)
	setTime(&o.AnswerTime, DefaultAnswerTime)
	setTime(&o.IdleTime, DefaultIdleTime)
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
