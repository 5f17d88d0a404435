package membership

import "time"

// Member is one moorrund process. Its JSON form is its registration in the platform's store.
type Member struct {
	VM            string    `json:"vm"`
	DataCentre    string    `json:"data_centre"`
	CallerAddress string    `json:"caller_address"`
	AdminAddress  string    `json:"admin_address"`
	PeerAddress   string    `json:"peer_address"`
	Incarnation   string    `json:"incarnation"` // differs at every start
	Change        uint64    `json:"-"`           // grows with every change of this record at its owner
	Draining      bool      `json:"-"`
	Revision      int64     `json:"-"` // configuration in force at it
	Heard         time.Time `json:"-"` // an instant at which it was certainly alive
}
