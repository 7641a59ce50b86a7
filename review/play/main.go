// Command play runs a case of the review: the project's own programs as separate
// processes on loopback addresses, with stand-ins of clients, endpoints and the store. It
// exits with 0 if the rule of the case held, 1 if it was broken and 2 if the case could
// not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// playLimit ends a play that hangs.
const playLimit = 110 * time.Second

// cases are the plays by their names.
var cases = map[string]func(*play) error{
	"reuse":    playReuse,
	"moved":    playMoved,
	"clock":    playClock,
	"rolls":    playRolls,
	"twice":    playTwice,
	"watchers": playWatchers,
}

// errNotRun means that the situation of a case did not come about.
var errNotRun = errors.New("the case could not run")

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play CASE BINARY FOLDER")
		os.Exit(2)
	}
	code, err := run(cases[os.Args[1]], os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func run(c func(*play) error, binary, folder string) (int, error) {
	w, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return 2, err
	}
	defer w.Close()
	rec := newRecord(w)
	d, err := newDeployment(rec, binary)
	if err != nil {
		return 2, err
	}
	defer d.stop()
	p := &play{deployment: d, routers: newRouters(d), trouble: os.Getenv("TROUBLE") != "0"}
	defer p.close()
	rec.add("trouble: %v", p.trouble)
	result := make(chan error, 1)
	go func() { result <- c(p) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-result:
	case s := <-signals:
		err = fmt.Errorf("%w: it was ended by %v", errNotRun, s)
	case <-time.After(playLimit):
		err = fmt.Errorf("%w: it took longer than %v", errNotRun, playLimit)
	}
	switch {
	case err != nil:
		rec.add("not run: %v", err)
		return 2, err
	case rec.broken() > 0:
		rec.add("result: the rule is broken, %d times", rec.broken())
		return 1, nil
	}
	rec.add("result: the rule held")
	return 0, nil
}
