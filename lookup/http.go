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

// queryAccount is the query parameter that names the account when the header
// does not.
const queryAccount = "account"

// durationBuckets cover a look-up on a node from 1 µs to about 0.5 s.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Microsecond, 2, 20)

// refusal is the body of an answer without entry VMs.
type refusal struct {
	Result  result.Code `json:"result"`
	Name    string      `json:"name"`
	Message string      `json:"message"`
}

// ServeHTTP answers GET /v1/lookup. The account comes from the Yucca-Account
// header or the account query parameter, the caller's address from the
// connection.
func (l *Lookup) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	if r.Method != http.MethodGet {
		refuse(w, result.BadRequest)
		return
	}
	account := accountOf(r)
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if account == "" || err != nil {
		refuse(w, result.BadRequest)
		return
	}
	var answer Answer
	code := l.Lookup(account, remote.Addr(), &answer)
	if code != result.OK {
		refuse(w, code)
		return
	}
	body, err := json.Marshal(&answer)
	if err != nil {
		l.options.Logger.WithError(err).Error("lookup: encode answer")
		refuse(w, result.Internal)
		return
	}
	write(w, result.OK, body)
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

func refuse(w http.ResponseWriter, code result.Code) {
	info := result.InfoOf(code)
	body, err := json.Marshal(refusal{Result: code, Name: info.Name, Message: info.Meaning})
	if err != nil {
		body = nil
	}
	write(w, code, body)
}

func write(w http.ResponseWriter, code result.Code, body []byte) {
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
