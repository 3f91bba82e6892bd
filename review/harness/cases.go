package main

import "time"

// cases returns the cases by name.
func cases() map[string]setup {
	return map[string]setup{
		"stale": {
			config: clusterConfig{entries: 3, vms: twoVMs(), workOf: lasting(time.Second)},
			play:   playStale,
		},
		"ends": {
			config: clusterConfig{entries: 3, vms: twoVMs(), workOf: lasting(1500 * time.Millisecond)},
			play:   playEnds,
		},
		"backlog": {
			config: clusterConfig{entries: 3, vms: twoVMs(), workOf: lasting(300 * time.Millisecond)},
			play:   playBacklog,
		},
		"phantom": {
			config: clusterConfig{entries: 3, vms: twoVMs(), workOf: lasting(time.Second)},
			play:   playPhantom,
		},
		"crashes": {
			config: clusterConfig{entries: 3, vms: eightVMs(), workOf: crashesWork},
			play:   playCrashes,
		},
	}
}

// lasting returns a function by which every run takes d; zero means that it lasts.
func lasting(d time.Duration) func(task string, run int) time.Duration {
	return func(string, int) time.Duration { return d }
}

// twoVMs are enough for the cases in which the VMs themselves are sound.
func twoVMs() []vmConfig {
	return []vmConfig{
		{pool: "tills", zone: "zone-a", rack: "r1-1", cpu: 64000}, {pool: "tills", zone: "zone-b", rack: "r2-1", cpu: 64000},
	}
}
