package lookup

import (
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/goccy/go-json"
	"github.com/uber-go/tally/v4"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// queryAccount is the query parameter for the account, used without the header.
const queryAccount = "account"

// durationBuckets range from 1 µs to about 0.5 s.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Microsecond, 2, 20)

// errorBody is the body of a response without entry VMs.
type errorBody struct {
	Result  result.Code `json:"result"`
	Name    string      `json:"name"`
	Message string      `json:"message"`
}

// ServeHTTP serves GET /v1/lookup. The account is taken from the Yucca-Account
// header or the account query parameter, the caller's address from the
// connection.
func (l *Lookup) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	if r.Method != http.MethodGet {
		writeError(w, result.BadRequest)
		return
	}
	account := accountOf(r)
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if account == "" || err != nil {
		writeError(w, result.BadRequest)
		return
	}
	var answer Answer
	code := l.Lookup(account, remote.Addr(), &answer)
	if code != result.OK {
		writeError(w, code)
		return
	}
	body, err := json.Marshal(&answer)
	if err != nil {
		l.options.Logger.WithError(err).Error("lookup: encode answer")
		writeError(w, result.Internal)
		return
	}
	writeResult(w, result.OK, body)
	if view := l.current.Load().accounts[account]; view != nil {
		view.metrics.duration.RecordDuration(time.Since(start))
	}
}

func accountOf(r *http.Request) model.AccountName {
	if name := r.Header.Get(result.HeaderAccount); name != "" {
		return model.AccountName(name)
	}
	return model.AccountName(r.URL.Query().Get(queryAccount))
}

func writeError(w http.ResponseWriter, code result.Code) {
	info := result.InfoOf(code)
	body, err := json.Marshal(errorBody{Result: code, Name: info.Name, Message: info.Meaning})
	if err != nil {
		body = nil
	}
	writeResult(w, code, body)
}

func writeResult(w http.ResponseWriter, code result.Code, body []byte) {
	info := result.InfoOf(code)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(result.HeaderResult, strconv.Itoa(int(code)))
	header.Set(result.HeaderOutcome, info.Outcome.String())
	w.WriteHeader(info.HTTP)
	_, _ = w.Write(body)
}
