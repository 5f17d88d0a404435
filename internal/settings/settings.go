// Package settings reads the settings of one moorrund process.
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

// Settings are what a process is told at its start.
type Settings struct {
	VM            string `json:"vm"`
	DataCentre    string `json:"data_centre"`
	CallerAddress string `json:"caller_address"` // told to callers
	AdminAddress  string `json:"admin_address"`  // told to operators
	PeerAddress   string `json:"peer_address"`   // told to other nodes

	// Listen overrides the addresses to listen on, where they differ from those told.
	Listen Listen `json:"listen,omitzero"`

	Platform Platform `json:"platform"`
	// Peers are peer addresses to ask while the platform does not answer.
	Peers []string `json:"peers,omitempty"`
	// BootstrapOperatorSHA256 is the hash of the token that may apply the very first configuration.
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
	// PlacesPolicy is "shared", or "split" for an equal part of every group's places a node, which is there
	// to be compared with.
	PlacesPolicy string `json:"places_policy,omitempty"`
	// QueuePolicy is "deadline", or "fifo" for queues bounded in length only, which is there to be compared with.
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

// defaults are used for what the file leaves out.
var defaults = Settings{
	HeartbeatMS: 250, PollMS: 500, EvidenceMS: 1900, LeaseTTLMS: 6000, AddressLifetimeMS: 10000,
	ReloadMS: 30000, StoreReads: 20, StoreWrites: 5, LogLevel: "info",
	PlacesPolicy: PlacesShared, QueuePolicy: QueueDeadline,
}

// Read reads and checks the file; the error names every faulty field.
func Read(file string) (*Settings, error) {
	content, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, err
	}
	return Parse(file, content)
}

// Parse checks the content of the file.
func Parse(file string, content []byte) (*Settings, error) {
	if problems := config.CheckSchema(schema(), file, content); problems != nil {
		return nil, problems
	}
	s := defaults
	if err := json.Unmarshal(content, &s); err != nil {
		return nil, config.Problems{{File: file, Field: "/", Message: err.Error()}}
	}
	s.Listen.Caller = or(s.Listen.Caller, s.CallerAddress)
	s.Listen.Admin = or(s.Listen.Admin, s.AdminAddress)
	s.Listen.Peer = or(s.Listen.Peer, s.PeerAddress)
	if problems := s.checkAddresses(file); problems != nil {
		return nil, problems
	}
	return &s, nil
}

func or(a, b string) string {
	if a != "" {
		return a
	}
	return b
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

// checkAddress returns what is wrong with an address, if anything.
func checkAddress(file, field, address string) config.Problems {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return config.Problems{{File: file, Field: field, Message: err.Error() + "; write an IP address and a port, such as 10.0.0.1:7000"}}
	}
	return nil
}

// Heartbeat is the longest silence between two nodes.
func (s *Settings) Heartbeat() time.Duration { return millis(s.HeartbeatMS) }

// Poll is how often an engine is asked for its state.
func (s *Settings) Poll() time.Duration { return millis(s.PollMS) }

// Evidence is how long a replica group may be used after the oldest last answer of its VMs.
func (s *Settings) Evidence() time.Duration { return millis(s.EvidenceMS) }

// LeaseTTL is the term of a data centre's lease.
func (s *Settings) LeaseTTL() time.Duration { return millis(s.LeaseTTLMS) }

// AddressLifetime is how long callers may keep the answer to which address to use.
func (s *Settings) AddressLifetime() time.Duration { return millis(s.AddressLifetimeMS) }

// Reload is how long a replica group is thought to take to load before one has been measured.
func (s *Settings) Reload() time.Duration { return millis(s.ReloadMS) }

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
