package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the short delay after which the platform starts an ended process again.
const restartDelay = 500 * time.Millisecond

// entryProcess is an entry of the project. As on the platform, a process that exceeds its
// memory is killed, and one that has ended is started again.
type entryProcess struct {
	ground   *ground
	name, ip string
	settings string
	log      *os.File

	mu      sync.Mutex
	process *exec.Cmd
	ending  bool
	// overMemory counts the kills for too much memory, ownEnds the other ends, and peakMb is the
	// most memory that was seen.
	overMemory, ownEnds int
	peakMb              int64
}

// startEntries starts entries in the zones by turns, and waits until they are ready.
func (g *ground) startEntries(count int) error {
	logs := os.Getenv("CASE_LOGS")
	for n := range count {
		e := &entryProcess{ground: g, name: fmt.Sprintf("front-%s-%d", zoneOf(n), n), ip: g.host(11 + n)}
		var err error
		if e.settings, err = g.settingsFile(e.name, e.ip, zoneOf(n)); err != nil {
			return err
		}
		if logs != "" {
			if e.log, err = os.Create(filepath.Join(logs, e.name+".log")); err != nil {
				return err
			}
		}
		g.entries = append(g.entries, e)
		go e.keepRunning()
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, e := range g.entries {
		for !e.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	g.note("%d entries are ready", count)
	return nil
}

func (e *entryProcess) front() string { return e.ip + ":8340" }

func (e *entryProcess) ready() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + e.ip + ":8343/-/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// keepRunning runs the process again and again until the case is over.
func (e *entryProcess) keepRunning() {
	for {
		c := exec.Command("target/almondcove", "platform")
		c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ALMONDCOVE_NODE_FILE=" + e.settings}
		if e.log != nil {
			c.Stdout, c.Stderr = e.log, e.log
		}
		e.mu.Lock()
		if e.ending {
			e.mu.Unlock()
			return
		}
		err := c.Start()
		e.process = c
		e.mu.Unlock()
		if err != nil {
			e.ground.note("%s could not be started: %v", e.name, err)
			return
		}
		ended := make(chan struct{})
		killed := make(chan bool, 1)
		go func() { killed <- e.watchMemory(c.Process.Pid, ended) }()
		err = c.Wait()
		close(ended)
		over := <-killed
		e.mu.Lock()
		ending := e.ending
		switch {
		case ending:
		case over:
			e.overMemory++
		default:
			e.ownEnds++
			e.ground.note("%s: the process has ended: %v", e.name, err)
		}
		e.mu.Unlock()
		if ending {
			return
		}
		time.Sleep(restartDelay)
	}
}

// watchMemory kills a process that exceeds its memory, and reports whether it did.
func (e *entryProcess) watchMemory(pid int, ended <-chan struct{}) bool {
	for {
		select {
		case <-ended:
			return false
		case <-time.After(20 * time.Millisecond):
		}
		mb := residentMb(pid)
		e.mu.Lock()
		e.peakMb = max(e.peakMb, mb)
		e.mu.Unlock()
		if mb > entryMemoryMb {
			e.ground.note("%s: the process takes %d MB of %d MB and is killed", e.name, mb, entryMemoryMb)
			// A process that has just ended needs no kill.
			_ = syscall.Kill(pid, syscall.SIGKILL)
			<-ended
			return true
		}
	}
}

// residentMb returns the memory that a process takes, or zero if it has ended.
func residentMb(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}

// signal sends a signal to the process.
func (e *entryProcess) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil && e.process.Process != nil {
		// A process that has ended gets none.
		_ = e.process.Process.Signal(s)
	}
}

// end ends the process for good.
func (e *entryProcess) end() {
	e.mu.Lock()
	e.ending = true
	e.mu.Unlock()
	e.signal(syscall.SIGKILL)
}

// counts returns the ends of the process and the most memory that it took.
func (e *entryProcess) counts() (overMemory, ownEnds int, peakMb int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overMemory, e.ownEnds, e.peakMb
}
