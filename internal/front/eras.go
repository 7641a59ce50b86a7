package front

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/roster"
)

// eraSpread bounds the random delay with which a balancer writes its entry again after the
// store has come back from a copy. All processes do so at about the same time.
const eraSpread = time.Second

// noteEra handles the era of the store that another process knows; 0 if it knows none, for
// instance because the store has named none when it last made a call. One of an earlier
// version of the program counts the answer as foreign.
func (c *Core) noteEra(e plat.Era, from netip.AddrPort) {
	switch own := c.StoreEra(); {
	case e > own:
		c.toldEra = e
		c.HearEra(e)
	case e < own:
		c.sendEra(own, from)
	}
}

func (c *Core) sendEra(e plat.Era, to netip.AddrPort) {
	c.send(&frame.Frame{Kind: frame.Era, Balancer: c.self.Peer, Payload: binary.BigEndian.AppendUint64(nil, uint64(e))}, to)
}

// AnnounceEra tells the other balancers of a new era of the store, unless one of them has
// told this one. Agents are told when they announce themselves.
func (c *Core) AnnounceEra() {
	e := c.StoreEra()
	if e <= c.toldEra {
		return
	}
	for _, a := range c.Peers() {
		c.sendEra(e, a)
	}
}

// handleEra handles an Era frame.
func (c *Core) handleEra(f *frame.Frame, from netip.AddrPort) {
	if len(f.Payload) != 8 {
		c.Counts.Foreign++
		return
	}
	c.noteEra(plat.Era(binary.BigEndian.Uint64(f.Payload)), from)
}

// followEras ends watch calls of an earlier era and announces a new one until ctx ends.
func (b *Balancer) followEras(ctx context.Context) {
	for e := b.store.Era(); ; {
		select {
		case <-b.store.EraAfter(e):
		case <-ctx.Done():
			return
		}
		// The first era that a balancer hears of is not a new one.
		if first := e == 0; !first {
			b.loop.Do(func(time.Duration) { b.core.AnnounceEra() })
			b.configWatch.interrupt()
			b.evacuationWatch.interrupt()
		}
		e = b.store.Era()
	}
}

// enter writes the balancer's entry in the platform's list, and again whenever the store has
// come back from a copy, which may lack it. entered is called after the first write.
func (b *Balancer) enter(ctx context.Context, entered func()) {
	var o plat.Object
	for first := true; ctx.Err() == nil; first = false {
		b.retryCall(ctx, func(ctx context.Context) (err error) {
			o, err = b.store.Ensure(ctx, plat.KindBalancer, b.settings.Name, roster.BalancerEntry{Peer: b.settings.Peer})
			return err
		})
		if first {
			entered()
		}
		select {
		case <-b.store.EraAfter(o.Era):
			sleep(ctx, rand.N(eraSpread))
		case <-ctx.Done():
		}
	}
}
