package settings

import (
	_ "embed"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"moorrun.dev/moorrun/internal/config"
)

//go:embed gateway.schema.json
var gatewaySchemaJSON []byte

var gatewaySchema = sync.OnceValue(func() *jsonschema.Schema {
	return config.CompileSchema("gateway.schema.json", gatewaySchemaJSON)
})

// Gateway holds the settings of a process that serves a platform's callers.
type Gateway struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`

	CallerAddress    string `json:"caller_address"`
	ReadinessAddress string `json:"readiness_address"`
	RegistryAddress  string `json:"registry_address"`
	PeerAddress      string `json:"peer_address"` // for drpc calls and datagrams from other nodes
	MetricsAddress   string `json:"metrics_address,omitempty"`
	StoreAddress     string `json:"store_address"`
	// Capacity is the processor capacity available to this VM, in cores.
	Capacity float64 `json:"capacity,omitempty"`
	// FirstStart means that the fleet starts for the first time, so that no node is registered in the store yet.
	FirstStart bool `json:"first_start,omitempty"`
	// Peers holds the peer addresses of some nodes, to contact first while no other node is known.
	Peers []string `json:"peers,omitempty"`

	// CredentialProofMS is the maximum age of the proof that the configuration is current. Credentials are accepted while the
	// proof is newer.
	CredentialProofMS int `json:"credential_proof_ms"`
	// CredentialProofRequired means that credentials are accepted only with that proof. Otherwise a node that cannot
	// reach the store continues with the newest configuration it has.
	CredentialProofRequired bool `json:"credential_proof_required"`

	// Evacuations means that operators take data centres out of use on this platform. The list of these is watched only if
	// it is set.
	Evacuations bool `json:"evacuations,omitempty"`

	// EndpointBeatMS is the interval at which endpoints rewrite their entries in the store. An entry that was not written
	// for three intervals is removed.
	EndpointBeatMS int `json:"endpoint_beat_ms,omitempty"`

	// StoreRecoveryMS is how long after the store's return, or after the path to it is whole again, a node has applied what it missed.
	StoreRecoveryMS int `json:"store_recovery_ms,omitempty"`

	// StallMS is the time after which endpoints abort a response that is not read. A caller that accepts nothing is cut
	// within half of it.
	StallMS int `json:"stall_ms,omitempty"`

	// MemoryMB is the memory of the VM that this process may use, in MB (2^20 bytes). Without it nothing that is held for callers
	// and endpoints is bounded in total.
	MemoryMB int `json:"memory_mb,omitempty"`
	// HeldShare is the part of the memory that may be held for callers and endpoints, and HeldRequestShare the part of that for
	// one request.
	HeldShare        float64 `json:"held_share,omitempty"`
	HeldRequestShare float64 `json:"held_request_share,omitempty"`

	GraceMS            Milliseconds `json:"grace_ms"` // from the stop signal until the process is killed
	AddressLifetimeMS  int          `json:"address_lifetime_ms"`
	RepeatRatio        float64      `json:"repeat_ratio"`
	RepeatSlack        float64      `json:"repeat_slack"`
	RepeatWindowMS     Milliseconds `json:"repeat_window_ms"`
	LeaseTTLMS         int          `json:"lease_ttl_ms,omitempty"`
	LogLevel           string       `json:"log_level,omitempty"`
	SampleOneIn        int          `json:"sample_one_in,omitempty"`
	FailureLinesSecond float64      `json:"failure_lines_per_second,omitempty"`
}

// gatewayDefaults holds the values of settings that the file omits. A third of the memory held for requests becomes more than half
// of it with what the garbage collector leaves between two runs (GOGC 60), and the process needs the rest itself. A quarter of
// that for one request is 8 MB, the longest answer read whole, from 100 MB of memory on.
var gatewayDefaults = Gateway{
	CredentialProofRequired: true, Capacity: 1, EndpointBeatMS: 1200, StoreRecoveryMS: 3000, StallMS: 5000, HeldShare: 0.33, HeldRequestShare: 0.25,
	LeaseTTLMS: 1500, LogLevel: "info", SampleOneIn: 20, FailureLinesSecond: 20,
}

// ReadGateway reads and validates the file. The error lists all invalid fields.
func ReadGateway(file string) (*Gateway, error) {
	content, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, err
	}
	return ParseGateway(file, content)
}

// ParseGateway parses and validates the content of the file.
func ParseGateway(file string, content []byte) (*Gateway, error) {
	if problems := config.CheckSchema(gatewaySchema(), file, content); problems != nil {
		return nil, problems
	}
	s := gatewayDefaults
	if err := json.Unmarshal(content, &s); err != nil {
		return nil, config.Problems{{File: file, Field: "/", Message: err.Error()}}
	}
	var problems config.Problems
	check := func(field, address string) { problems = append(problems, checkAddress(file, field, address)...) }
	check("/caller_address", s.CallerAddress)
	check("/readiness_address", s.ReadinessAddress)
	check("/registry_address", s.RegistryAddress)
	check("/peer_address", s.PeerAddress)
	check("/store_address", s.StoreAddress)
	if s.MetricsAddress != "" {
		check("/metrics_address", s.MetricsAddress)
	}
	for _, p := range s.Peers {
		check("/peers", p)
	}
	if problems != nil {
		return nil, problems
	}
	return &s, nil
}

// ProofLimit returns the maximum age of the proof that the configuration is current, for requests with a credential.
func (s *Gateway) ProofLimit() time.Duration { return millis(s.CredentialProofMS) }

// EndpointBeat returns the interval at which endpoints rewrite their entries.
func (s *Gateway) EndpointBeat() time.Duration { return millis(s.EndpointBeatMS) }

// StoreRecovery returns how long after the store's return a node has applied what it missed.
func (s *Gateway) StoreRecovery() time.Duration { return millis(s.StoreRecoveryMS) }

// Stall returns the time after which endpoints abort a response that is not read.
func (s *Gateway) Stall() time.Duration { return millis(s.StallMS) }

// HeldBytes returns how much may be held for callers and endpoints, in bytes; 0 is no limit.
func (s *Gateway) HeldBytes() int64 { return int64(s.HeldShare * float64(s.MemoryMB<<20)) }

// HeldRequestBytes returns how much may be held for one request, in bytes; 0 is no limit.
func (s *Gateway) HeldRequestBytes() int64 { return int64(s.HeldRequestShare * float64(s.HeldBytes())) }

// Grace returns the time from the stop signal until the process is killed.
func (s *Gateway) Grace() time.Duration { return s.GraceMS.duration() }

// AddressLifetime returns how long callers may cache the list of addresses to use.
func (s *Gateway) AddressLifetime() time.Duration { return millis(s.AddressLifetimeMS) }

// LeaseTTL returns the term of the leader's lease.
func (s *Gateway) LeaseTTL() time.Duration { return millis(s.LeaseTTLMS) }

// RepeatWindow returns the window in which retries are counted.
func (s *Gateway) RepeatWindow() time.Duration { return s.RepeatWindowMS.duration() }
