// Package stress runs a real dispatcher with little memory against crowds of bad clients. It measures the dispatcher's memory and
// what other clients are answered meanwhile.
package stress

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"sync"
	"time"

	"curlewmux/internal/bench/rig"
	"curlewmux/internal/standin/badclient"
	"curlewmux/internal/standin/discovery"
)

const (
	class       = "free" // of sound messages
	tenant      = "core"
	destination = 1
	maxOpen     = 2000
	slots       = 64
	diskMB      = 3
	callTime    = 5 * time.Millisecond // of a call at the endpoint
	endpointCap = 1_000_000            // calls a second that the endpoint is listed with

	bodyBytes   = 200 // of a sound message
	expiry      = 2 * time.Second
	submitPause = 20 * time.Millisecond // between two sound messages
	mostSound   = 100_000

	downTime = 600 * time.Millisecond // between a kill and the next start

	bytesPerMB = 1 << 20
	diskSector = 512 // a file counts in whole ones of these bytes
)

// Settings configure a run.
type Settings struct {
	Program  string // path of curlewmux
	Dir      string // empty folder for its files
	MemoryMB int
	Sockets  int
	Time     time.Duration
	Crowds   []badclient.Crowd    // Addr, Class and Tenant are set by Run
	Restart  bool                 // the dispatcher is killed and started again after half of the time
	Floods   []func(n int) string // for each client that sends requests without a pause: its n-th one
}

// Report says what a run has shown.
type Report struct {
	Peak       int64         // bytes that were resident at most, with the files of the state folder
	Limit      int64         // bytes that the dispatcher may use
	Accepted   int           // sound messages that were accepted
	TurnedAway int           // the same with 503
	Other      int           // the same with another status
	Unanswered int           // the same without an answer in rig.Patience
	Slowest    time.Duration // longest time to an answer
	Bad        int64         // connections of bad clients
	Flooded    int64         // requests that were sent without a pause
	CPU        time.Duration // CPU time that the dispatcher used
}

// Run makes a run. An error says that the run could not be made, or that the dispatcher ended.
func Run(ctx context.Context, cores *rig.Cores, s Settings) (report *Report, err error) {
	agent, err := discovery.Start()
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, agent.Close()) }()
	partners := rig.NewPartners(mostSound, callTime)
	defer partners.Close()
	addr, err := partners.Endpoint(destination)
	if err != nil {
		return nil, err
	}
	agent.Tell(discovery.Member{
		ID: "e1", HostPort: addr, Locality: "east", Flavor: "hooks", Cell: destination, Phase: discovery.Active, Size: endpointCap,
	})
	daemon, err := cores.Start(ctx, s.Program, s.Dir, rig.Options{
		Discovery: agent.Addr(), Slots: slots, MaxOpen: maxOpen, Sockets: s.Sockets, MemoryMB: s.MemoryMB, DiskMB: diskMB,
	})
	if err != nil {
		return nil, err
	}
	defer daemon.Kill()
	r := &Report{Limit: int64(s.MemoryMB) * bytesPerMB}
	playing, stop := context.WithTimeout(ctx, s.Time)
	defer stop()
	var restarting sync.WaitGroup
	if s.Restart {
		restarting.Go(func() { err = s.restart(ctx, daemon, r) })
	}
	s.play(playing, daemon.Addr, r)
	restarting.Wait()
	if err != nil {
		return nil, err
	}
	return r, s.measure(daemon, r)
}

// restart kills the dispatcher after half of the time and starts it again.
func (s *Settings) restart(ctx context.Context, daemon *rig.Daemon, r *Report) error {
	time.Sleep(s.Time / 2)
	if err := s.measure(daemon, r); err != nil {
		return err
	}
	daemon.Kill()
	time.Sleep(downTime)
	return daemon.Restart(ctx)
}

// measure adds what the process has used so far.
func (s *Settings) measure(daemon *rig.Daemon, r *Report) error {
	_, most, err := daemon.Memory()
	if err != nil {
		return fmt.Errorf("the dispatcher has ended: %w", err)
	}
	cpu, err := daemon.CPU()
	if err != nil {
		return err
	}
	files, err := folderBytes(s.Dir)
	r.Peak, r.CPU = max(r.Peak, most+files), r.CPU+cpu
	return err
}

// play runs the bad clients and one sound client side by side until playing ends.
func (s *Settings) play(playing context.Context, addr string, r *Report) {
	var running sync.WaitGroup
	for i := range s.Crowds {
		crowd := &s.Crowds[i]
		crowd.Addr, crowd.Class, crowd.Tenant = addr, class, tenant
		running.Go(func() { crowd.Run(playing) })
	}
	floods := make([]badclient.Flood, len(s.Floods))
	for i := range floods {
		floods[i].Addr, floods[i].Request = addr, s.Floods[i]
		running.Go(func() { floods[i].Run(playing) })
	}
	submitUntilDone(playing, addr, r)
	running.Wait()
	for i := range s.Crowds {
		r.Bad += s.Crowds[i].Connected()
	}
	for i := range floods {
		r.Flooded += floods[i].Sent()
	}
}

// submitUntilDone submits sound messages, one after the other.
func submitUntilDone(ctx context.Context, addr string, r *Report) {
	client := rig.NewClient(addr, bodyBytes)
	defer client.Close()
	for n := 0; ctx.Err() == nil; n++ {
		began := time.Now()
		status, _ := client.Submit(class, n, destination, expiry)
		r.Slowest = max(r.Slowest, time.Since(began))
		switch status {
		case 202:
			r.Accepted++
		case 503:
			r.TurnedAway++
		case 0:
			r.Unanswered++
		default:
			r.Other++
		}
		time.Sleep(submitPause)
	}
}

// Request returns a request that submits a message of a class.
func Request(class, id, key, body string, expiry time.Duration) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: %s\r\nX-Expires-In-Ms: %d\r\n"+
		"Idempotency-Key: %s\r\nEnvelope: dest=%d\r\nContent-Length: %d\r\n\r\n%s",
		class, id, class, tenant, expiry.Milliseconds(), key, destination, len(body), body)
}

// folderBytes returns the size of the files in a folder as the platform counts it.
func folderBytes(dir string) (sum int64, err error) {
	err = filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		if err == nil {
			sum += (info.Size() + diskSector - 1) / diskSector * diskSector
		}
		return err
	})
	return sum, err
}
