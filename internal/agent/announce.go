package agent

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
)

// endpointObject is the platform object of an agent.
type endpointObject struct {
	Address  netip.AddrPort    `json:"address"`
	Instance ident.Instance    `json:"instance"`
	Service  ident.ServiceName `json:"service"`
	Place    ident.PlaceName   `json:"place"`
	Group    ident.GroupName   `json:"group"`
	Draining bool              `json:"draining"`
}

const announceRetry = 500 * time.Millisecond

// announce writes the agent's object to the platform and removes it at the end.
func (a *Agent) announce(ctx context.Context) error {
	name := fmt.Sprintf("%s-%d-%06x", a.self.Addr.Addr(), a.self.Addr.Port(), uint32(a.self.Instance))
	o := endpointObject{
		Address:  a.self.Addr,
		Instance: a.self.Instance,
		Service:  ident.ServiceName(a.settings.Service),
		Place:    ident.PlaceName(a.settings.Place),
		Group:    ident.GroupName(a.settings.Group),
	}
	var v plat.Version
	for {
		var err error
		if v, err = a.client.Put(ctx, plat.KindEndpoint, name, o, 0); err == nil {
			break
		}
		a.frame.Log.WithError(err).Warn("announcement failed")
		select {
		case <-time.After(announceRetry):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	<-ctx.Done()
	end, cancel := context.WithTimeout(context.Background(), announceRetry)
	defer cancel()
	a.client.Delete(end, plat.KindEndpoint, name, v)
	return ctx.Err()
}
