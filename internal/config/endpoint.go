package config

// DefaultEndpointPlaces is how many calls a plain endpoint takes at a time when it declares nothing.
const DefaultEndpointPlaces = 64

// Endpoint is one address of a plain service.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Places  int    `json:"places,omitempty"`
}

// AtOnce is how many calls the endpoint takes at a time.
func (e Endpoint) AtOnce() int {
	if e.Places == 0 {
		return DefaultEndpointPlaces
	}
	return e.Places
}
