package config

import "github.com/yuccaroute/yuccaroute/config/inifile"

// Kinds of sections.
const (
	kindTemplate = "template"
	kindAccount  = "account"
	kindMoves    = "moves"
	kindPolicy   = "policy"
	kindExcess   = "excess"
	kindDrains   = "drains"
	kindRegion   = "region"
	kindDelay    = "delay"
	kindPlace    = "place"
	kindService  = "service"
	kindRoute    = "route"
	kindCapacity = "capacity"
	kindDrain    = "drain"
	kindCallers  = "callers"
)

// Names of keys.
const (
	keyName           = "name"
	keyTemplate       = "template"
	keyEnabled        = "enabled"
	keyMoveCap        = "move_cap_percent"
	keyMoveWindow     = "move_window_seconds"
	keyLatencyWeight  = "latency_weight"
	keyHeadroomWeight = "headroom_weight"
	keyHeadroom       = "headroom_percent"
	keyTraffic        = "traffic"
	keyOutageOrders   = "outage_orders"
	keyDrainShortest  = "shortest_seconds"
	keyDrainLongest   = "longest_seconds"
	keyCapacity       = "capacity_rps"
	keyLinkIn         = "link_in_rps"
	keyOneWayDelay    = "one_way_delay_ms"
	keyRegion         = "region"
	keySlots          = "slots_per_target"
	keyConnections    = "connections_per_target"
	keyDeadline       = "deadline_ms"
	keyRetryBudget    = "retry_budget_percent"
	keyMaxRequest     = "max_request_bytes"
	keyMaxAnswer      = "max_answer_bytes"
	keyMethod         = "method"
	keyPath           = "path_prefix"
	keyClass          = "class"
	keyPlace          = "place"
	keyStart          = "start"
	keyEnd            = "end"
	keyUntil          = "until"
	keyBlocks         = "blocks"
)

// Words of choices.
const (
	wordRefuse = "refuse"
	wordWait   = "wait"
	wordServe  = "serve"
	wordAny    = "any"
)

const (
	maxRPS         = 10_000_000
	maxBodyBytes   = 1 << 40
	maxDeadlineMS  = 3_600_000
	maxDelayMS     = 10_000
	maxWindow      = 86_400
	maxSlots       = 100_000
	maxConnections = 1_000_000
	maxDrain       = 604_800
)

var (
	rate       = inifile.Number{Min: 0.001, Max: maxRPS}
	percent    = inifile.Number{Min: 0, Max: 100}
	weight     = inifile.Number{Min: 0, Max: 1}
	someBytes  = inifile.Whole{Min: 1, Max: maxBodyBytes}
	enabledKey = inifile.KeySpec{Name: keyEnabled, Value: inifile.YesNo, Default: "yes"}
)

// headSections describes the section that only one kind of document has.
var (
	templateHead = inifile.SectionSpec{Kind: kindTemplate, Keys: []inifile.KeySpec{
		{Name: keyName, Value: inifile.NameKind, Required: true},
	}}
	accountHead = inifile.SectionSpec{Kind: kindAccount, Keys: []inifile.KeySpec{
		{Name: keyName, Value: inifile.NameKind, Required: true},
		{Name: keyTemplate, Value: inifile.NameKind, Required: true},
	}}
)

// parameters describes what both kinds of documents may hold.
var parameters = []inifile.SectionSpec{
	{Kind: kindMoves, Keys: []inifile.KeySpec{
		{Name: keyMoveCap, Value: inifile.Number{Min: 0.1, Max: 100}, Default: "10"},
		{Name: keyMoveWindow, Value: inifile.Number{Min: 1, Max: maxWindow}, Default: "60"},
	}},
	{Kind: kindPolicy, Keys: []inifile.KeySpec{
		{Name: keyLatencyWeight, Value: weight, Default: "0.5"},
		{Name: keyHeadroomWeight, Value: weight, Default: "0.5"},
		{Name: keyHeadroom, Value: inifile.Number{Min: 0, Max: 90}, Default: "20"},
	}},
	{Kind: kindExcess, Keys: []inifile.KeySpec{
		{Name: keyTraffic, Value: inifile.Choice{wordRefuse, wordWait}, Default: wordWait},
		{Name: keyOutageOrders, Value: inifile.Choice{wordRefuse, wordServe}, Default: wordRefuse},
	}},
	{Kind: kindDrains, Keys: []inifile.KeySpec{
		{Name: keyDrainShortest, Value: inifile.Number{Min: 1, Max: maxDrain}, Default: "60"},
		{Name: keyDrainLongest, Value: inifile.Number{Min: 1, Max: maxDrain}, Default: "86400"},
	}},
	{Kind: kindRegion, Parts: 1, Keys: []inifile.KeySpec{
		{Name: keyCapacity, Value: rate, Required: true},
		{Name: keyLinkIn, Value: inifile.Number{Min: 0, Max: maxRPS}, Required: true},
		enabledKey,
	}},
	{Kind: kindDelay, Parts: 2, Keys: []inifile.KeySpec{
		{Name: keyOneWayDelay, Value: inifile.Number{Min: 0, Max: maxDelayMS}, Required: true},
		enabledKey,
	}},
	{Kind: kindPlace, Parts: 1, Keys: []inifile.KeySpec{
		{Name: keyRegion, Value: inifile.NameKind, Required: true},
		enabledKey,
	}},
	{Kind: kindService, Parts: 1, Keys: []inifile.KeySpec{
		{Name: keySlots, Value: inifile.Whole{Min: 1, Max: maxSlots}, Required: true},
		{Name: keyConnections, Value: inifile.Whole{Min: 1, Max: maxConnections}, Required: true},
		{Name: keyDeadline, Value: inifile.Number{Min: 1, Max: maxDeadlineMS}, Default: "2000"},
		{Name: keyRetryBudget, Value: percent, Default: "10"},
		{Name: keyMaxRequest, Value: someBytes, Default: "1048576"},
		{Name: keyMaxAnswer, Value: someBytes, Default: "4194304"},
		enabledKey,
	}},
	{Kind: kindRoute, Parts: 2, Keys: []inifile.KeySpec{
		{Name: keyMethod, Value: inifile.Choice{wordAny, "GET", "HEAD", "PUT", "POST", "PATCH", "DELETE", "OPTIONS"}, Default: wordAny},
		{Name: keyPath, Value: inifile.PathKind, Required: true},
		{Name: keyClass, Value: inifile.Choice{"non-idempotent", "idempotent", "bulk"}, Required: true},
		enabledKey,
	}},
	{Kind: kindCapacity, Parts: 2, Keys: []inifile.KeySpec{
		{Name: keyCapacity, Value: rate, Required: true},
		enabledKey,
	}},
	{Kind: kindDrain, Parts: 1, Keys: []inifile.KeySpec{
		{Name: keyPlace, Value: inifile.NameKind, Required: true},
		{Name: keyStart, Value: inifile.Moment{}, Required: true},
		{Name: keyEnd, Value: inifile.Moment{}, Required: true},
		{Name: keyUntil, Value: inifile.Moment{}, Required: true},
		enabledKey,
	}},
	{Kind: kindCallers, Parts: 1, Keys: []inifile.KeySpec{
		{Name: keyBlocks, Value: inifile.Blocks{}, Required: true},
		enabledKey,
	}},
}

var (
	templateSchema = append(inifile.Schema{templateHead}, parameters...)
	accountSchema  = append(inifile.Schema{accountHead}, parameters...)
	// mergedSchema reads the parameters of both documents together.
	mergedSchema = inifile.Schema(parameters)
)
