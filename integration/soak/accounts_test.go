package soak

import (
	"net/http"
	"sort"
	"time"

	"github.com/yuccaroute/yuccaroute/platform/platformtest"
)

// Keys of callers. The account of movingKey is openAccount; unknownKey is in no configuration.
const (
	openAccount, limitedAccount = "open", "limited"

	openKey, limitedKey, movingKey, unknownKey = "key-open", "key-limited", "key-moving", "key-unknown"

	// The limit of limitedAccount, in requests per second and in requests, and the window in which
	// it must hold without the overshoot that the settings may allow.
	limitRate, limitBurst = 20, 20
	limitWindow           = 5 * time.Second
)

// keyOf returns the key of a caller, "" for seeds without accounts.
func (w *world) keyOf(caller int) string {
	if w.seed < accountSeeds {
		return ""
	}
	return [...]string{openKey, limitedKey, movingKey, unknownKey}[caller%4]
}

func (w *world) accounts() []platformtest.Account {
	open := platformtest.Account{Name: openAccount, Keys: []string{openKey, movingKey}}
	if w.keyGone {
		open.Keys = open.Keys[:1]
	}
	accounts := []platformtest.Account{open, {Name: limitedAccount, Keys: []string{limitedKey}, Rate: limitRate, Burst: limitBurst}}
	if w.seed >= unevenSeeds {
		accounts = append(accounts, platformtest.Account{Name: boundAccount, Keys: []string{boundKey}, Regions: []string{boundRegion}})
	}
	return accounts
}

// checkAccounts checks which account targets were told, that they got no key, and the quota.
func (w *world) checkAccounts(seen *journal) {
	w.t.Helper()
	if w.seed < accountSeeds {
		return
	}
	owners := map[string]string{openKey: openAccount, movingKey: openAccount, limitedKey: limitedAccount, boundKey: boundAccount}
	var limited []time.Time
	for _, o := range seen.all {
		runs := w.ledger.Executions(o.id)
		for _, r := range runs {
			if r.HasKey || r.Account != owners[o.key] || o.key == unknownKey {
				w.t.Errorf("%s with %s ran for account %q, key passed on: %v", o.id, o.key, r.Account, r.HasKey)
			}
			if o.key == limitedKey {
				limited = append(limited, r.At)
			}
		}
		switch {
		case o.key == openKey && (o.status == http.StatusUnauthorized || o.status == http.StatusTooManyRequests):
			w.t.Errorf("%s with a valid key and no limit was answered %d", o.id, o.status)
		case o.status == http.StatusUnauthorized && len(runs) > 0:
			w.t.Errorf("%s was answered 401 and ran: %+v", o.id, runs)
		}
	}
	w.checkLimit(limited)
	w.checkRemovedKey()
}

func (w *world) checkLimit(runs []time.Time) {
	sort.Slice(runs, func(i, j int) bool { return runs[i].Before(runs[j]) })
	most, first := 0, 0
	for i, at := range runs {
		for at.Sub(runs[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	if bound := limitRate*int(limitWindow/time.Second) + limitBurst; most > bound || len(runs) == 0 {
		w.t.Errorf("%d requests of the limited account in %s, at most %d; %d in all", most, limitWindow, bound, len(runs))
	}
}

// checkRemovedKey removes a key in calm: every VM must refuse it, and serve the others.
func (w *world) checkRemovedKey() {
	w.keyGone = true
	w.configure()
	for i, p := range w.processes {
		c := &caller{name: "removed", random: w.random, vms: w.processes[i : i+1], key: movingKey}
		began := time.Now()
		for n := 0; c.ask(w.checkID(p, n), false).status != http.StatusUnauthorized; n++ {
			if time.Since(began) > healTime {
				w.t.Errorf("%s serves with a key that was taken away", p.vm.Name)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.drop()
	}
	w.waitServing("without the key")
}

func (w *world) checkID(p *process, n int) string {
	return "removed-" + p.vm.Name + "-" + time.Duration(n).String()
}
