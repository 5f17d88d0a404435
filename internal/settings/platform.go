package settings

import (
	_ "embed"
)

// Platform holds the addresses of the platform's services.
type Platform struct {
	ObjectAPI   string `json:"object_api"`
	VMList      string `json:"vm_list"`
	WeightStore string `json:"weight_store"`
}
