package upstream

// The headers of the task protocol. The entry sends Team, Queue, Lease and
// NotAfter; the upstream answers with Task, Digest, Load, Boot, Run and Why.
const (
	HeaderTeam  = "Task-Team"
	HeaderQueue = "Task-Queue"
	// HeaderLease is the longest run time, as [time.ParseDuration] reads it.
	HeaderLease = "Task-Lease"
	// HeaderNotAfter is the last moment at which the task may start, in RFC 3339.
	HeaderNotAfter = "Task-Not-After"
	// HeaderTask echoes the task's id.
	HeaderTask = "Task-Id"
	// HeaderDigest is the SHA-256 of the answer's body (RFC 9530).
	HeaderDigest = "Content-Digest"
	// HeaderLoad is the number of tasks that the upstream runs.
	HeaderLoad = "Task-Load"
	// HeaderBoot names the run of the upstream's process. An upstream that
	// started anew has forgotten what it ran.
	HeaderBoot = "Task-Boot"
	// HeaderRun says whether the task began: yes or no.
	HeaderRun = "Task-Run"
	// HeaderWhy says in a word why the task did not begin.
	HeaderWhy = "Task-Why"
)

// The values of HeaderRun.
const (
	RunYes = "yes"
	RunNo  = "no"
)

// The values of HeaderWhy.
const (
	WhyBusy    = "busy"
	WhyLeaving = "leaving"
	WhyLate    = "late"
	WhyFenced  = "fenced"
)

// Usage is the answer to GET /usage.
type Usage struct {
	VM      string `json:"vm"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Leaving bool   `json:"leaving"`
	// Boot names the run of the VM's process.
	Boot string `json:"boot"`
}
