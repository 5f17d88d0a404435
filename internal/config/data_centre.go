package config

// DataCentre is the part that declares one data centre's fabric domains.
type DataCentre struct {
	Kind    Kind     `json:"kind"`
	Name    string   `json:"name"`
	Region  string   `json:"region"`
	Domains []Domain `json:"domains"`
}
