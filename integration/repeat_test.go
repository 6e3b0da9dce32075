package integration

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// lostBooking: a farmer's line breaks within the confirmation of a booking, and
// the farmer's client sends it again, through the same entry VM and through
// others. Each repeat gets the confirmation, and the gang is booked once. Once the
// entry VM that had the answer is gone, a repeat that no other one has answered is
// refused.
func lostBooking(f *farm) {
	const token = "lost-booking"
	f.entryPaths[0].add(cutAfter(back, firstCut/2, 1))
	if code, _ := f.book(0, token); code != "" {
		f.t.Errorf("the confirmation was not lost: result %s", code)
	}
	f.entryPaths[0].clear()
	for _, entry := range []int{0, 1} {
		f.waitUntil("the booking to be confirmed", func() bool {
			code, body := f.book(entry, token)
			return code == numberOf(result.OK) && strings.HasPrefix(body, token) && strings.HasSuffix(body, token+"\n")
		})
	}
	f.entries[0].kill()
	f.waitUntil("the repeat to be refused", func() bool {
		code, _ := f.book(2, token)
		return code == numberOf(result.DuplicateKey)
	})
	runs := 0
	for _, ran := range f.settledLedger() {
		if ran.Token == token {
			runs += max(1, ran.Count)
		}
	}
	if runs != 1 {
		f.t.Errorf("booked %d times", runs)
	}
}

// book sends a booking with its token as key and returns the numbered result and
// the answer, "" if the answer was lost.
func (f *farm) book(entry int, token string) (code, answer string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), exitPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.nodes()[entry]+"/bookings", strings.NewReader(token))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set(result.HeaderAccount, string(account))
	req.Header.Set(result.HeaderService, string(service))
	req.Header.Set(result.HeaderKey, token)
	req.Header.Set(result.HeaderToken, token)
	// net/http would send a request with a key again by itself, but not on a
	// connection that is new.
	once := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := once.Do(req)
	if err != nil {
		return "", ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", ""
	}
	return resp.Header.Get(result.HeaderResult), string(body)
}

func numberOf(code result.Code) string { return strconv.Itoa(int(code)) }
