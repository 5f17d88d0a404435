package config

// DomainOf is a fabric domain with its data centre.
type DomainOf struct {
	Domain
	DataCentre string
}
