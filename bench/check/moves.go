package check

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

const (
	// binsPerWindow cuts the move window; bins up to a whole window apart are
	// compared, so that a sudden move inside a bin shows in full between the
	// bins around it.
	binsPerWindow = 2
	// slicesPerBin cuts a bin into times that count alike.
	slicesPerBin = 5
	// lastingWindows is over how many windows a move that goes on is added up.
	lastingWindows = 5
	// minBinRequests is the fewest requests of a caller region in a bin that
	// is compared.
	minBinRequests = 100
	// falseAlarm bounds the chance that a check of a system that keeps its cap
	// reports any violation.
	falseAlarm = 1e-6
)

// checkMoves compares, for each caller region, the shares of its traffic that
// went to each place in two bins at most one window apart, and in two whole
// windows up to lastingWindows apart. The difference of two averages over times a
// lag d apart is the average of the moves over d, so it is under the cap, times
// the windows in d, when every move over a window is, plus an allowance for
// chance; see allowance. The short bins show a sudden move in full, the long ones
// a smaller one that lasts: the allowance is there once, so that a move of a
// little more than the cap in each window stands out after some.
func checkMoves(in *Input, requests map[string]*request, r *Report) {
	for _, account := range in.Accounts {
		if account.Moves.Window <= 0 {
			continue
		}
		for _, c := range binsOf(account, requests) {
			checkCaller(account, c, r)
		}
	}
}

func checkCaller(account *model.Account, c *callerBins, r *Report) {
	order := make([]int, 0, len(c.bins))
	for n := range c.bins {
		order = append(order, n)
	}
	sort.Ints(order)
	homes := make(map[model.ServiceName]map[model.PlaceName]float64)
	comparisons := len(order) * (binsPerWindow + lastingWindows)
	for _, n := range order {
		rememberHomes(account, homes, c.bins[n], comparisons)
		for lag := 1; lag <= binsPerWindow; lag++ {
			comparePair(account, c, c.bins[n], c.bins[n+lag], 1, homes, comparisons, r)
		}
		c.compareWindows(account, n, homes, comparisons, r)
	}
}

// compareWindows compares the window that ends with bin n with later ones.
func (c *callerBins) compareWindows(account *model.Account, n int,
	homes map[model.ServiceName]map[model.PlaceName]float64, comparisons int, r *Report) {
	first := n + 1 - binsPerWindow
	earlier, ok := c.window(first)
	if !ok {
		return
	}
	for lag := 1; lag <= lastingWindows; lag++ {
		if later, follows := c.window(first + lag*binsPerWindow); follows {
			comparePair(account, c, earlier, later, lag, homes, comparisons, r)
		}
	}
}

// window joins the bins of the window that begins with bin n; ok is false when
// one is missing.
func (c *callerBins) window(n int) (joined bin, ok bool) {
	for i := n; i < n+binsPerWindow; i++ {
		if c.bins[i] == nil {
			return nil, false
		}
		joined = joined.with(c.bins[i])
	}
	return joined, true
}

// rememberHomes keeps, for each place, the largest share that may still belong
// there: what ran there, and of what ran there before as much as ran nowhere
// since. What ran elsewhere meanwhile has moved, and comes back as a move.
func rememberHomes(account *model.Account, homes map[model.ServiceName]map[model.PlaceName]float64, b bin, comparisons int) {
	for service, f := range b {
		if homes[service] == nil {
			homes[service] = make(map[model.PlaceName]float64)
		}
		chance := allowance(len(account.Places), comparisons, f.spread())
		for i := range account.Places {
			place := account.Places[i].Name
			share := f.share(place)
			homes[service][place] = max(share, min(homes[service][place], share+f.unplaced()+chance))
		}
	}
}

// comparePair compares two times that are at most some windows apart.
func comparePair(account *model.Account, c *callerBins, earlier, later bin, windows int,
	homes map[model.ServiceName]map[model.PlaceName]float64, comparisons int, r *Report) {
	total := later.offered()
	if total < minBinRequests || earlier.offered() < minBinRequests {
		return
	}
	moved, spreadEarlier, spreadLater := 0.0, 0.0, 0.0
	for service, to := range later {
		from := earlier[service]
		if from == nil {
			continue
		}
		weight := float64(to.offered()) / float64(total)
		moved += weight * movedShare(account, from, to, homes[service])
		spreadEarlier += weight * weight * from.spread()
		spreadLater += weight * weight * to.spread()
	}
	allowed := float64(windows)*account.Moves.Share +
		allowance(len(later)*len(account.Places), comparisons, spreadEarlier+spreadLater)
	r.checked(MovedOver)
	largest := windows == 1 && moved > r.LargestMove.Share
	if !largest && moved <= allowed {
		return
	}
	text := fmt.Sprintf("%s: callers of %s: %.3f moved within %v, cap %.3f in %v, with allowance %.3f; from %s to %s",
		account.Name, c.caller, moved, time.Duration(windows)*account.Moves.Window,
		account.Moves.Share, account.Moves.Window, allowed, earlier, later)
	if largest {
		r.LargestMove = Move{Share: moved, Detail: text}
	}
	if moved > allowed {
		r.violated(MovedOver, "%s", text)
	}
}

// movedShare is the share of a flow that appeared in places where it was not
// before. Requests that were refused and run again where they ran before that
// did not move: a place came back.
func movedShare(account *model.Account, from, to *binFlow, home map[model.PlaceName]float64) float64 {
	gained, returned := 0.0, 0.0
	for i := range account.Places {
		place := account.Places[i].Name
		gain := max(0, to.share(place)-from.share(place))
		gained += gain
		returned += min(gain, max(0, home[place]-from.share(place)))
	}
	return gained - min(returned, max(0, from.unplaced()-to.unplaced()))
}

// allowance is how far a measured move may lie above the true one by chance.
// The gain of any set of (service, place) pairs, the weighted shares of the
// later bin less those of the earlier one, is a sum of independent bounded
// terms whose squared ranges add up to spread. By Hoeffding's inequality it
// exceeds its mean by t with a chance of at most exp(-2 t^2 / spread). The
// bound holds for all 2^pairs sets and all comparisons at once when the chance
// for each is falseAlarm divided by their number.
func allowance(pairs, comparisons int, spread float64) float64 {
	logCases := float64(pairs)*math.Ln2 + math.Log(float64(max(1, comparisons))/falseAlarm)
	return math.Sqrt(logCases * spread / 2)
}
