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

// Gateway are the settings of a process that serves a platform's callers.
type Gateway struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`

	CallerAddress    string `json:"caller_address"`
	ReadinessAddress string `json:"readiness_address"`
	RegistryAddress  string `json:"registry_address"`
	PeerAddress      string `json:"peer_address"` // drpc calls of other nodes, and their datagrams
	MetricsAddress   string `json:"metrics_address,omitempty"`
	StoreAddress     string `json:"store_address"`
	// Capacity is the VM's share of processors, in cores.
	Capacity float64 `json:"capacity,omitempty"`
	// FirstStart says that the fleet starts for the first time: no node of it is known to the store yet.
	FirstStart bool `json:"first_start,omitempty"`
	// Peers are peer addresses of some nodes, to be tried before any is known.
	Peers []string `json:"peers,omitempty"`

	CredentialProofMS int `json:"credential_proof_ms"` // a credential counts while the configuration was proved current
	// CredentialProofRequired says whether a credential counts only with that proof. Without it a node that cannot
	// reach the store goes on with the newest configuration it has.
	CredentialProofRequired bool `json:"credential_proof_required"`

	// Evacuations says whether operators take data centres out of use on this platform; their list is watched then.
	Evacuations bool `json:"evacuations,omitempty"`

	// EndpointBeatMS is how often endpoints write their entries in the store; one that has not for three such is removed.
	EndpointBeatMS int `json:"endpoint_beat_ms,omitempty"`

	GraceMS            int     `json:"grace_ms"` // from the order to stop until the process is killed
	AddressLifetimeMS  int     `json:"address_lifetime_ms"`
	RepeatRatio        float64 `json:"repeat_ratio"`
	RepeatSlack        float64 `json:"repeat_slack"`
	RepeatWindowMS     int     `json:"repeat_window_ms"`
	LeaseTTLMS         int     `json:"lease_ttl_ms,omitempty"`
	LogLevel           string  `json:"log_level,omitempty"`
	SampleOneIn        int     `json:"sample_one_in,omitempty"`
	FailureLinesSecond float64 `json:"failure_lines_per_second,omitempty"`
}

var gatewayDefaults = Gateway{CredentialProofRequired: true, Capacity: 1, EndpointBeatMS: 1200, LeaseTTLMS: 1500, LogLevel: "info", SampleOneIn: 20, FailureLinesSecond: 20}

// ReadGateway reads and checks the file; the error names every faulty field.
func ReadGateway(file string) (*Gateway, error) {
	content, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, err
	}
	return ParseGateway(file, content)
}

// ParseGateway checks the content of the file.
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

// CredentialProof is how old the proof of the configuration may be for requests with a credential.
func (s *Gateway) CredentialProof() time.Duration { return millis(s.CredentialProofMS) }

// EndpointBeat is how often endpoints write their entries.
func (s *Gateway) EndpointBeat() time.Duration { return millis(s.EndpointBeatMS) }

// Grace is the time from the order to stop until the process is killed.
func (s *Gateway) Grace() time.Duration { return millis(s.GraceMS) }

// AddressLifetime is how long callers may keep an answer to which address to use.
func (s *Gateway) AddressLifetime() time.Duration { return millis(s.AddressLifetimeMS) }

// LeaseTTL is the term of the leader's lease.
func (s *Gateway) LeaseTTL() time.Duration { return millis(s.LeaseTTLMS) }

// RepeatWindow is the window in which repeats are counted.
func (s *Gateway) RepeatWindow() time.Duration { return millis(s.RepeatWindowMS) }
