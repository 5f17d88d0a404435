package rest

import (
	"context"
	"time"

	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/infra"
)

// VMList is infra.VMList over HTTP.
type VMList struct{ source source }

// NewVMList returns the VM list at address (host:port).
func NewVMList(address string, client *httpcall.Client, timeout time.Duration) *VMList {
	return &VMList{source{address, caller{client, timeout}}}
}

// VMs implements infra.VMList.
func (l *VMList) VMs(ctx context.Context) ([]infra.VM, error) {
	return fetch[[]infra.VM](ctx, l.source, "/vms")
}
