package settings

import (
	_ "embed"
)

// Listen holds the addresses to listen on.
type Listen struct {
	Caller string `json:"caller,omitempty"`
	Admin  string `json:"admin,omitempty"`
	Peer   string `json:"peer,omitempty"`
}
