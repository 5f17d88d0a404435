// Package settings reads and validates the settings of a moorrund process.
package settings

import (
	_ "embed"
	"encoding/json"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"moorrun.dev/moorrun/internal/config"
)

//go:embed schema.json
var schemaJSON []byte

var schema = sync.OnceValue(func() *jsonschema.Schema {
	return config.CompileSchema("settings.json", schemaJSON)
})

// Settings holds the settings that a process reads at its start.
type Settings struct {
	// Deployment names the deployment that the process belongs to. Nodes of other deployments are not accepted as peers.
	Deployment    string `json:"deployment,omitempty"`
	VM            string `json:"vm"`
	DataCentre    string `json:"data_centre"`
	CallerAddress string `json:"caller_address"` // published to callers
	AdminAddress  string `json:"admin_address"`  // published to operators
	PeerAddress   string `json:"peer_address"`   // published to other nodes

	// Listen overrides the addresses to listen on where they differ from the published ones.
	Listen Listen `json:"listen,omitzero"`

	Platform Platform `json:"platform"`
	// Peers holds the peer addresses of other nodes to contact while the platform does not answer.
	Peers []string `json:"peers,omitempty"`
	// BootstrapOperatorSHA256 is the hash of the token that may apply the first configuration.
	BootstrapOperatorSHA256 string `json:"bootstrap_operator_sha256,omitempty"`

	HeartbeatMS       int     `json:"heartbeat_ms,omitempty"`
	PollMS            int     `json:"poll_ms,omitempty"`
	EvidenceMS        int     `json:"evidence_ms,omitempty"`
	LeaseTTLMS        int     `json:"lease_ttl_ms,omitempty"`
	AddressLifetimeMS int     `json:"address_lifetime_ms,omitempty"`
	ReloadMS          int     `json:"reload_ms,omitempty"`
	StoreReads        float64 `json:"store_reads_per_second,omitempty"`
	StoreWrites       float64 `json:"store_writes_per_second,omitempty"`
	LogLevel          string  `json:"log_level,omitempty"`
	// PlacesPolicy is PlacesShared, or PlacesSplit to give each node an equal part of every group's places.
	// PlacesSplit is a baseline for comparison.
	PlacesPolicy string `json:"places_policy,omitempty"`
	// QueuePolicy is QueueDeadline, or QueueFIFO for queues that are bounded only by length, not by expected wait.
	// QueueFIFO is a baseline for comparison.
	QueuePolicy string `json:"queue_policy,omitempty"`
}

// The values of PlacesPolicy.
const (
	PlacesShared = "shared"
	PlacesSplit  = "split"
)

// The values of QueuePolicy.
const (
	QueueDeadline = "deadline"
	QueueFIFO     = "fifo"
)

// defaults holds the values of settings that the file omits.
var defaults = Settings{
	HeartbeatMS: 250, PollMS: 500, EvidenceMS: 1900, LeaseTTLMS: 6000, AddressLifetimeMS: 10000,
	ReloadMS: 30000, StoreReads: 20, StoreWrites: 5, LogLevel: "info",
	PlacesPolicy: PlacesShared, QueuePolicy: QueueDeadline,
}

// Read reads and validates the file. The error lists all invalid fields.
func Read(file string) (*Settings, error) {
	content, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, err
	}
	return Parse(file, content)
}

// Parse parses and validates the content of the file.
func Parse(file string, content []byte) (*Settings, error) {
	if problems := config.CheckSchema(schema(), file, content); problems != nil {
		return nil, problems
	}
	s := defaults
	if err := json.Unmarshal(content, &s); err != nil {
		return nil, config.Problems{{File: file, Field: "/", Message: err.Error()}}
	}
	s.Listen.Caller = withDefault(s.Listen.Caller, s.CallerAddress)
	s.Listen.Admin = withDefault(s.Listen.Admin, s.AdminAddress)
	s.Listen.Peer = withDefault(s.Listen.Peer, s.PeerAddress)
	if problems := s.checkAddresses(file); problems != nil {
		return nil, problems
	}
	return &s, nil
}

func withDefault(value, fallback string) string {
	if value != "" {
		return value
	}
	return fallback
}

func (s *Settings) checkAddresses(file string) config.Problems {
	var problems config.Problems
	check := func(field, address string) { problems = append(problems, checkAddress(file, field, address)...) }
	check("/caller_address", s.CallerAddress)
	check("/admin_address", s.AdminAddress)
	check("/peer_address", s.PeerAddress)
	check("/listen/caller", s.Listen.Caller)
	check("/listen/admin", s.Listen.Admin)
	check("/listen/peer", s.Listen.Peer)
	check("/platform/object_api", s.Platform.ObjectAPI)
	check("/platform/vm_list", s.Platform.VMList)
	check("/platform/weight_store", s.Platform.WeightStore)
	for _, p := range s.Peers {
		check("/peers", p)
	}
	return problems
}

// checkAddress returns a problem if address is not an IP address with a port.
func checkAddress(file, field, address string) config.Problems {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return config.Problems{{File: file, Field: field, Message: err.Error() + "; write an IP address and a port, such as 10.0.0.1:7000"}}
	}
	return nil
}

// Heartbeat returns the longest time that either side of a link goes without sending a message.
func (s *Settings) Heartbeat() time.Duration { return millis(s.HeartbeatMS) }

// PollInterval returns the interval at which an engine is polled for its state.
func (s *Settings) PollInterval() time.Duration { return millis(s.PollMS) }

// EvidenceLifetime returns how long a replica group may be used after the oldest of the last answers of its VMs.
func (s *Settings) EvidenceLifetime() time.Duration { return millis(s.EvidenceMS) }

// LeaseTTL returns the term of a data centre's lease.
func (s *Settings) LeaseTTL() time.Duration { return millis(s.LeaseTTLMS) }

// AddressLifetime returns how long callers may cache the list of addresses to use.
func (s *Settings) AddressLifetime() time.Duration { return millis(s.AddressLifetimeMS) }

// Reload returns the assumed load time of a replica group if none has been measured.
func (s *Settings) Reload() time.Duration { return millis(s.ReloadMS) }

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
