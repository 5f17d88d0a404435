package rest

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/platform"
)

// VMList is platform.VMList over HTTP.
type VMList struct {
	address string
	caller  caller
}

// NewVMList returns the VM list at address (host:port).
func NewVMList(address string, client *httpcall.Client, timeout time.Duration) *VMList {
	return &VMList{address, caller{client, timeout}}
}

// VMs implements platform.VMList.
func (l *VMList) VMs(ctx context.Context) ([]platform.VM, error) {
	var vms []platform.VM
	status, err := l.caller.call(ctx, fasthttp.MethodGet, l.address, "/vms", nil, &vms)
	if err != nil || status != fasthttp.StatusOK {
		return nil, errors.Join(platform.ErrUnavailable, err)
	}
	return vms, nil
}
