package rest

import (
	"context"
	"time"

	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/infra"
)

// VMList implements infra.VMList over HTTP.
type VMList struct{ service readOnlyService }

// NewVMList returns a client of the VM list at address (host:port); timeout applies to each call.
func NewVMList(address string, client *httpcall.Client, timeout time.Duration) *VMList {
	return &VMList{readOnlyService{address, caller{client: client, timeout: timeout}}}
}

// VMs implements infra.VMList.
func (l *VMList) VMs(ctx context.Context) ([]infra.VM, error) {
	return fetch[[]infra.VM](ctx, l.service, "/vms")
}
