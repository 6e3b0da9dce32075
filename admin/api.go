package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/admin/identity"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/store"
)

// PathPrefix is the prefix of all paths of this version of the API.
const PathPrefix = "/admin/v1/"

// DefaultTimeout bounds one request, store calls included.
const DefaultTimeout = 10 * time.Second

// Options configures an API. Log and KV are required.
type Options struct {
	Log *changelog.Log
	KV  store.KV
	// Identities tells who calls. Nil lets everybody do everything; use it on
	// loopback only.
	Identities *identity.Keeper
	// Forecaster, Status, Explainer and Live may be nil; what they serve is
	// then answered as not available.
	Forecaster Forecaster
	Status     StatusSource
	Explainer  Explainer
	Live       LiveAccounts
	Logger     logrus.FieldLogger
	// Timeout bounds one request.
	Timeout time.Duration
	// Now is the clock.
	Now func() time.Time
	// NewID makes identifiers for changes that come without one.
	NewID func() string
}

// API is the administration API. It is an http.Handler for PathPrefix.
type API struct {
	options Options
	mux     *http.ServeMux
}

var _ http.Handler = (*API)(nil)

// New returns the API.
func New(options Options) *API {
	if options.Logger == nil {
		options.Logger = logrus.StandardLogger()
	}
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.NewID == nil {
		options.NewID = uuid.NewString
	}
	a := &API{options: options, mux: http.NewServeMux()}
	for i := range routes {
		a.mux.HandleFunc(routes[i].pattern(), a.handler(&routes[i]))
	}
	a.mux.HandleFunc("/", a.serveUnknownPath)
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// handler runs one route: who calls, what they may do, the work, the answer.
func (a *API) handler(route *Route) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// A caller that hangs up does not stop a change half-way: its outcome
		// would then be unknown for no reason.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), a.options.Timeout)
		defer cancel()
		c := &call{
			api: a, ctx: ctx, r: r, w: w,
			account:  r.PathValue("account"),
			template: r.PathValue("template"),
		}
		body, err := c.run(route)
		if err != nil {
			c.fail(err)
			return
		}
		c.answer(body)
	}
}

func (a *API) serveUnknownPath(w http.ResponseWriter, r *http.Request) {
	c := &call{api: a, ctx: r.Context(), r: r, w: w}
	c.fail(notFound("no such path or method: " + r.Method + " " + r.URL.Path))
}
