package platform

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/platform/platformtest"
	"github.com/yuccaroute/yuccaroute/store"
)

// serveKV is the key-value service: the platform's protocol, with rates. Its calls end
// with ctx, which is done when the server stops.
func (s *Server) serveKV(ctx context.Context) http.Handler {
	protocol := platformtest.NewHandler(&countedWatches{KV: s.faults, era: s.kv.Era, waiting: &s.waiting}, platformtest.DefaultPageLimit)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.rates.allow(r.Method != http.MethodGet) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		protocol.ServeHTTP(w, r.WithContext(ctx))
	})
}

// countedWatches counts the watches that wait.
type countedWatches struct {
	store.KV
	era     func() uint64
	waiting *gauge
}

// Era implements platformtest.KV.
func (c *countedWatches) Era() uint64 { return c.era() }

// Watch implements store.KV.
func (c *countedWatches) Watch(ctx context.Context, prefix string, after store.Revision) (store.Batch, error) {
	c.waiting.enter()
	defer c.waiting.leave()
	return c.KV.Watch(ctx, prefix, after)
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	text, err := json.Marshal(answer)
	if err != nil {
		logrus.WithError(err).Error("platform: answer not encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
