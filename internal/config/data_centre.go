package config

// DataCentre is the configuration part of one data centre, with its fabric domains.
type DataCentre struct {
	Kind    Kind     `json:"kind"`
	Name    string   `json:"name"`
	Region  string   `json:"region"`
	Domains []Domain `json:"domains"`
}
