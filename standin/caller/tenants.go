package caller

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// Shapes of the two tenants' work.
const (
	orderKeyShare   = 0.2
	smallBodyMin    = 100
	smallBodyMax    = 400
	uploadBodyMin   = 20 << 10
	uploadBodyMax   = 200 << 10
	askDeadline     = 2 * time.Second
	uploadDeadline  = 10 * time.Second
	askShareOfTotal = 85
	orderShare      = 15
)

func ask(path string, weight float64) Kind {
	return Kind{Method: http.MethodGet, Path: path, Class: model.Idempotent, Weight: weight}
}

func order(path string, weight float64) Kind {
	return Kind{
		Method: http.MethodPost, Path: path, Class: model.NonIdempotent, Weight: weight,
		MinBody: smallBodyMin, MaxBody: smallBodyMax, KeyShare: orderKeyShare,
	}
}

func upload(path string) Kind {
	return Kind{
		Method: http.MethodPost, Path: path, Class: model.Bulk, Weight: 1,
		MinBody: uploadBodyMin, MaxBody: uploadBodyMax,
	}
}

// DealerDesk is the load of dealers: stock and prices, orders, reservations.
func DealerDesk(rate Rate) Load {
	return Load{Service: "dealer-desk", Rate: rate, Deadline: askDeadline, Kinds: []Kind{
		ask("/stock/6204", askShareOfTotal/2.0), ask("/prices/6204", askShareOfTotal/2.0),
		order("/orders", orderShare/2.0), order("/reservations", orderShare/2.0),
	}}
}

// WarehouseDocs is the load of warehouses: scans and certificates in bulk.
func WarehouseDocs(rate Rate) Load {
	return Load{Service: "warehouse-docs", Rate: rate, Deadline: uploadDeadline, Kinds: []Kind{
		upload("/scans"), upload("/certificates"),
	}}
}

// Termindienst is the load of farmers and gang leaders: availability, rosters
// and bookings.
func Termindienst(rate Rate) Load {
	return Load{Service: "termindienst", Rate: rate, Deadline: askDeadline, Kinds: []Kind{
		ask("/gangs/pitztal", askShareOfTotal/2.0), ask("/rosters/gang-7", askShareOfTotal/2.0),
		order("/bookings", orderShare),
	}}
}

// Herdenakte is the load of flock registers and wool-class sheets.
func Herdenakte(rate Rate) Load {
	return Load{Service: "herdenakte", Rate: rate, Deadline: uploadDeadline, Kinds: []Kind{
		upload("/registers"), upload("/sheets"),
	}}
}

// DaehanBlocks are the caller blocks of Daehan.
func DaehanBlocks() []model.CallerBlock {
	return []model.CallerBlock{
		{Prefix: netip.MustParsePrefix("127.10.1.0/24"), Region: "kr-seoul"},
		{Prefix: netip.MustParsePrefix("127.10.2.0/24"), Region: "kr-busan"},
		{Prefix: netip.MustParsePrefix("127.10.3.0/24"), Region: "kr-daejeon"},
	}
}

// AlpenvliesBlocks are the caller blocks of Alpenvlies.
func AlpenvliesBlocks() []model.CallerBlock {
	return []model.CallerBlock{
		{Prefix: netip.MustParsePrefix("127.20.1.0/24"), Region: "tirol"},
		{Prefix: netip.MustParsePrefix("127.20.2.0/24"), Region: "steiermark"},
		{Prefix: netip.MustParsePrefix("127.20.3.0/24"), Region: "salzburg"},
	}
}
