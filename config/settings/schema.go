package settings

import (
	"math"

	"github.com/yuccaroute/yuccaroute/config/inifile"
)

const (
	sectionNode     = "node"
	sectionListen   = "listen"
	sectionPlatform = "platform"
	sectionLimits   = "limits"
	sectionLog      = "log"
	sectionTLS      = "tls"
	sectionAdmin    = "admin"
)

const (
	keyVM                = "vm"
	keyRegion            = "region"
	keyFailureDomain     = "failure_domain"
	keyCallers           = "callers"
	keyAdmin             = "admin"
	keyPeers             = "peers"
	keyStore             = "store"
	keyVMList            = "vm_list"
	keyVMListPath        = "vm_list_path"
	keyCallTimeout       = "call_timeout_ms"
	keyWatchTimeout      = "watch_timeout_ms"
	keyReads             = "reads_per_second"
	keyWrites            = "writes_per_second"
	keyVMListInterval    = "vm_list_interval_ms"
	keyMergedAccounts    = "merged_accounts"
	keyBuffered          = "buffered_bytes"
	keyKeptAnswers       = "kept_answer_bytes"
	keyStreamOver        = "stream_over_bytes"
	keyStreamAhead       = "stream_ahead_ms"
	keyQueued            = "queued_requests"
	keyCallerConnections = "caller_connections"
	keyLeaveTime         = "leave_time_ms"
	keyRelayFrom         = "relay_from_nodes"
	keyCollectAt         = "collect_at_percent"
	keyMemory            = "memory_bytes"
	keyLevel             = "level"
	keyFormat            = "format"
	keyCertificate       = "certificate_file"
	keyKey               = "key_file"
	keyAuthority         = "authority_file"
	keyPlain             = "plain_allowed"
	keyIdentities        = "identities_file"
	keyOpen              = "open"
)

const (
	maxTimeoutMS = 600_000
	maxRate      = 100_000
	// minMemoryBytes is what a node without accounts takes. With less the
	// collector would run all the time.
	minMemoryBytes = 32 << 20
)

var (
	timeout   = inifile.Number{Min: 1, Max: maxTimeoutMS}
	callRate  = inifile.Number{Min: 0.1, Max: maxRate}
	anyCount  = inifile.Whole{Min: 0, Max: math.MaxInt32}
	someCount = inifile.Whole{Min: 1, Max: math.MaxInt32}
	growth    = inifile.Whole{Min: 10, Max: 1000}
	anyBytes  = inifile.Whole{Min: 0, Max: 1 << 40}
	someBytes = inifile.Whole{Min: 1 << 16, Max: 1 << 40}
	listening = inifile.Address{AnyPort: true}
)

var schema = inifile.Schema{
	{Kind: sectionNode, Keys: []inifile.KeySpec{
		{Name: keyVM, Value: inifile.NameKind, Required: true},
		{Name: keyRegion, Value: inifile.NameKind, Required: true},
		{Name: keyFailureDomain, Value: inifile.NameKind, Required: true},
	}},
	{Kind: sectionListen, Keys: []inifile.KeySpec{
		{Name: keyCallers, Value: listening, Required: true},
		{Name: keyAdmin, Value: listening, Required: true},
		{Name: keyPeers, Value: listening, Required: true},
	}},
	{Kind: sectionPlatform, Keys: []inifile.KeySpec{
		{Name: keyStore, Value: inifile.Address{}, Required: true},
		{Name: keyVMList, Value: inifile.Address{}, Required: true},
		{Name: keyVMListPath, Value: inifile.PathKind, Default: "/vms/v1"},
		{Name: keyCallTimeout, Value: timeout, Default: "2000"},
		{Name: keyWatchTimeout, Value: timeout, Default: "40000"},
		{Name: keyReads, Value: callRate, Default: "50"},
		{Name: keyWrites, Value: callRate, Default: "20"},
		{Name: keyVMListInterval, Value: timeout, Default: "1000"},
		{Name: keyMergedAccounts, Value: inifile.YesNo, Default: "no"},
	}},
	{Kind: sectionLimits, Keys: []inifile.KeySpec{
		{Name: keyBuffered, Value: someBytes, Default: "268435456"},
		{Name: keyKeptAnswers, Value: anyBytes, Default: "4194304"},
		{Name: keyStreamOver, Value: someBytes, Default: "262144"},
		{Name: keyStreamAhead, Value: inifile.Number{Min: 0, Max: maxTimeoutMS}, Default: "500"},
		{Name: keyQueued, Value: someCount, Default: "4096"},
		{Name: keyCallerConnections, Value: someCount, Default: "20000"},
		{Name: keyLeaveTime, Value: timeout, Default: "30000"},
		{Name: keyRelayFrom, Value: anyCount, Default: "64"},
		{Name: keyCollectAt, Value: growth, Default: "40"},
		{Name: keyMemory, Value: inifile.Whole{Min: minMemoryBytes, Max: 1 << 40}},
	}},
	{Kind: sectionLog, Keys: []inifile.KeySpec{
		{Name: keyLevel, Value: inifile.Choice{"debug", "info", "warn", "error"}, Default: "info"},
		{Name: keyFormat, Value: inifile.Choice{"text", "json"}, Default: "text"},
	}},
	{Kind: sectionTLS, Keys: []inifile.KeySpec{
		{Name: keyCertificate, Value: inifile.FileKind},
		{Name: keyKey, Value: inifile.FileKind},
		{Name: keyAuthority, Value: inifile.FileKind},
		{Name: keyPlain, Value: inifile.YesNo, Default: "no"},
	}},
	{Kind: sectionAdmin, Keys: []inifile.KeySpec{
		{Name: keyIdentities, Value: inifile.FileKind},
		{Name: keyOpen, Value: inifile.YesNo, Default: "no"},
	}},
}
