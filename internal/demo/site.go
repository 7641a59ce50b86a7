package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/certs"
	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/fabric"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/store"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

const (
	platformPort    = 7400
	platformTimeout = 2 * time.Second
	readTimeout     = 5 * time.Second
	certValidity    = time.Hour
	// networkTries bounds the search for a loopback network that is not in use.
	networkTries = 20
)

// site holds what all members share: a loopback network of its own, so that
// two demos do not collide, a directory, the platform and the fabrics.
type site struct {
	users []user
	log   io.Writer
	// network holds the first three octets of the demo's addresses; hosts is
	// the number of those given out.
	network [3]byte
	hosts   byte

	dir               string
	authority         *certs.Authority
	keysFile          string
	certFile, keyFile string

	platform    config.Platform
	declaration *decl.Declaration
	fabrics     map[string]*fabric.Fabric
	// closers end the stand-ins.
	closers []func()
}

func newSite(us []user, log io.Writer) (*site, error) {
	s := &site{users: us, log: log, fabrics: map[string]*fabric.Fabric{}}
	for _, step := range []func() error{s.startPlatform, s.writeFiles, s.apply, s.startFabrics} {
		if err := step(); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func (s *site) close() {
	for _, f := range s.closers {
		f()
	}
	os.RemoveAll(s.dir)
}

// nextIP returns an address of the demo's network that was not given out before.
func (s *site) nextIP() netip.Addr {
	s.hosts++
	return netip.AddrFrom4([4]byte{s.network[0], s.network[1], s.network[2], s.hosts})
}

// startPlatform draws the network and claims it with the platform's port.
func (s *site) startPlatform() error {
	var last error
	for range networkTries {
		s.network = [3]byte{127, byte(64 + rand.IntN(128)), byte(rand.IntN(256))}
		s.hosts = 0
		l, err := net.Listen("tcp4", netip.AddrPortFrom(s.nextIP(), platformPort).String())
		if err == nil {
			s.platform = config.Platform{URL: "http://" + l.Addr().String(), RequestTimeoutMillis: int(platformTimeout.Milliseconds())}
			s.serve(l, store.New())
			return nil
		}
		last = err
	}
	return errors.Annotate(last, "no loopback network is free")
}

// serve serves HTTP until the site closes.
func (s *site) serve(l net.Listener, h http.Handler) {
	v := &http.Server{Handler: h, ReadHeaderTimeout: readTimeout}
	go v.Serve(l)
	s.closers = append(s.closers, func() { v.Close() })
}

func (s *site) writeFiles() (err error) {
	if s.dir, err = os.MkdirTemp("", "bramleycourse-demo"); err != nil {
		return errors.Trace(err)
	}
	if s.authority, err = certs.NewAuthority(certValidity); err != nil {
		return errors.Trace(err)
	}
	if s.certFile, s.keyFile, err = s.authority.IssueFiles(s.dir, "service"); err != nil {
		return errors.Trace(err)
	}
	s.keysFile = filepath.Join(s.dir, "keys.json")
	return errors.Trace(os.WriteFile(s.keysFile, certs.KeysFile(1), 0o600))
}

// apply puts the declaration in force.
func (s *site) apply() error {
	s.declaration = declare(s.users, s.nextIP())
	if err := s.declaration.Validate(); err != nil {
		return errors.Trace(err)
	}
	b, err := s.declaration.JSON()
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	c := plat.New(s.platform.URL, platformTimeout)
	_, err = c.PutOnce(ctx, plat.KindConfig, configName, func(_ plat.Object, writer string) (any, error) {
		return config.Object{Generation: 1, Writer: writer, Declaration: b}, nil
	})
	return errors.Annotate(err, "applying the declaration")
}

// startFabrics starts a fabric for each service, with the delay to its callers.
func (s *site) startFabrics() error {
	listen := netip.AddrPortFrom(s.nextIP(), 0)
	for _, u := range s.users {
		for _, v := range u.services {
			f, err := fabric.New(listen, uint64(len(s.fabrics)+1))
			if err != nil {
				return err
			}
			f.SetFaults(fabric.Faults{Delay: u.toCallers}, fabric.Faults{Delay: u.toCallers})
			ctx, end := context.WithCancel(context.Background())
			go f.Run(ctx)
			s.closers = append(s.closers, end)
			s.fabrics[v.name] = f
		}
	}
	return nil
}

// aim makes the fabrics spray over the given balancers. All but the first
// stand in other places than the callers, one delay between places away.
func (s *site) aim(bs []*balancer) {
	for _, u := range s.users {
		for _, v := range u.services {
			f := s.fabrics[v.name]
			var targets []netip.AddrPort
			for i, b := range bs {
				a := netip.AddrPortFrom(b.ip, s.port(v.name))
				targets = append(targets, a)
				var delay time.Duration
				if i > 0 {
					delay = u.between
				}
				f.SetBalancerFaults(a, fabric.BalancerFaults{Delay: delay})
			}
			f.SetTargets(targets...)
		}
	}
}

func (s *site) port(service string) uint16 {
	for _, v := range s.declaration.Services {
		if v.Name == service {
			return netip.MustParseAddrPort(v.Address).Port()
		}
	}
	panic(fmt.Sprintf("service %q is not declared", service))
}
