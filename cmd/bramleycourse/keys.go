package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/certs"
)

type keysCmd struct {
	New  keysNewCmd  `cmd:"" help:"Make a keys file with one random key."`
	Add  keysAddCmd  `cmd:"" help:"Rotation, step 1: add a key that is accepted and not yet used."`
	Use  keysUseCmd  `cmd:"" help:"Rotation, step 2: make an accepted key the current one."`
	Drop keysDropCmd `cmd:"" help:"Rotation, step 3: remove a key. Flows that began under it break."`
}

// Help returns the help text on key rotation.
func (c *keysCmd) Help() string {
	return "Distribute the file to every process after each step, and let the processes reread it before the next. After step 2 the agents move their callers to flows of the new key. Before dropping a key, wait until connectionsByKey in the state dump of every agent shows no connection for it."
}

type keysNewCmd struct {
	File string `arg:"" help:"Keys file to make; it must not exist."`
}

// Run creates a keys file.
func (c *keysNewCmd) Run() error {
	if _, err := os.Stat(c.File); err == nil {
		return fmt.Errorf("keys file %s already exists", c.File)
	}
	const firstNumber = 1
	return certs.NewKeys(firstNumber).Write(c.File)
}

// changeKeys applies a change to a keys file and prints the resulting keys.
func changeKeys(file string, change func(k *certs.Keys) error) error {
	k, err := certs.ReadKeys(file)
	if err != nil {
		return err
	}
	if err := change(k); err != nil {
		return err
	}
	if err := k.Write(file); err != nil {
		return err
	}
	for _, s := range k.Keys {
		state := "accepted"
		if s.Number == k.Current {
			state = "current"
		}
		fmt.Printf("key %d %s\n", s.Number, state)
	}
	return nil
}

type keysAddCmd struct {
	File string `arg:"" help:"Keys file."`
}

// Run adds an accepted key.
func (c *keysAddCmd) Run() error {
	return changeKeys(c.File, func(k *certs.Keys) error {
		_, err := k.Add()
		return err
	})
}

type keysUseCmd struct {
	File   string `arg:"" help:"Keys file."`
	Number uint8  `arg:"" help:"Number of the key."`
}

// Run makes a key the current one.
func (c *keysUseCmd) Run() error {
	return changeKeys(c.File, func(k *certs.Keys) error { return k.Use(c.Number) })
}

type keysDropCmd struct {
	File   string `arg:"" help:"Keys file."`
	Number uint8  `arg:"" help:"Number of the key."`
}

// Run removes a key.
func (c *keysDropCmd) Run() error {
	return changeKeys(c.File, func(k *certs.Keys) error { return k.Drop(c.Number) })
}

type certsCmd struct {
	Dir   string   `arg:"" help:"Directory for ca.crt and a .crt and .key file for each name."`
	Names []string `arg:"" help:"Names to make certificates for; each is valid for loopback too."`
	IP    []string `name:"ip" help:"Further IP addresses that every certificate is valid for."`
	Days  int      `help:"Validity in days." default:"30"`
}

const day = 24 * time.Hour

// Run creates a test certificate authority and certificates. The authority's
// private key is not stored.
func (c *certsCmd) Run() error {
	a, err := certs.NewAuthority(time.Duration(c.Days) * day)
	if err != nil {
		return err
	}
	ca := filepath.Join(c.Dir, "ca.crt")
	if _, err := os.Stat(ca); err == nil {
		return fmt.Errorf("%s already exists", ca)
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return err
	}
	if err := os.WriteFile(ca, a.PEM, 0o644); err != nil {
		return err
	}
	for _, n := range c.Names {
		if _, _, err := a.IssueFiles(c.Dir, n, c.IP...); err != nil {
			return err
		}
	}
	return nil
}
