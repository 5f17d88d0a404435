package membership

import "time"

// Member describes one moorrund process. Its JSON form is the process's registration in the platform's store.
type Member struct {
	VM            string    `json:"vm"`
	DataCentre    string    `json:"data_centre"`
	CallerAddress string    `json:"caller_address"`
	AdminAddress  string    `json:"admin_address"`
	PeerAddress   string    `json:"peer_address"`
	Incarnation   string    `json:"incarnation"` // different for every start of the process
	Change        uint64    `json:"-"`           // version of this record, increased by the process itself with every change
	Draining      bool      `json:"-"`
	Revision      int64     `json:"-"` // revision of the configuration in force at the process
	Heard         time.Time `json:"-"` // latest known instant at which the process was certainly alive
}
