package config

// DefaultEndpointPlaces is the maximum number of concurrent calls to an endpoint that declares no places.
const DefaultEndpointPlaces = 64

// Endpoint is one endpoint of a plain service.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Places  int    `json:"places,omitempty"` // maximum number of concurrent calls; 0 for DefaultEndpointPlaces
}

// MaxConcurrentCalls returns Places, or DefaultEndpointPlaces if the endpoint declares none.
func (e Endpoint) MaxConcurrentCalls() int {
	if e.Places == 0 {
		return DefaultEndpointPlaces
	}
	return e.Places
}
