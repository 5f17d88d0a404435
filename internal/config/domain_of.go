package config

// DomainOf is a fabric domain with the name of its data centre.
type DomainOf struct {
	Domain
	DataCentre string
}
