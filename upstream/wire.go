package upstream

// Headers of the task protocol. The entry sends Team, Queue, Lease and NotAfter.
// The upstream responds with Task, Digest, Load, Boot, Run and Why.
const (
	HeaderTeam  = "Task-Team"
	HeaderQueue = "Task-Queue"
	// HeaderLease is the longest run time, in the format of [time.ParseDuration].
	HeaderLease = "Task-Lease"
	// HeaderNotAfter is the latest time at which the task may start, in RFC 3339
	// format.
	HeaderNotAfter = "Task-Not-After"
	// HeaderTask repeats the id of the task.
	HeaderTask = "Task-Id"
	// HeaderDigest is the SHA-256 digest of the response body (RFC 9530).
	HeaderDigest = "Content-Digest"
	// HeaderLoad is the number of tasks that the upstream is running.
	HeaderLoad = "Task-Load"
	// HeaderBoot identifies the run of the upstream's process. After a restart
	// the upstream no longer knows the tasks that it ran before.
	HeaderBoot = "Task-Boot"
	// HeaderRun says whether the task began: RunYes or RunNo.
	HeaderRun = "Task-Run"
	// HeaderWhy says why the task did not begin, as one of the Refusal values.
	HeaderWhy = "Task-Why"
)

// Values of HeaderRun.
const (
	RunYes = "yes"
	RunNo  = "no"
)

// Values of HeaderWhy.
const (
	RefusalBusy    = "busy"
	RefusalLeaving = "leaving"
	RefusalLate    = "late"
	RefusalFenced  = "fenced"
)

// Usage is the response body of GET /usage.
type Usage struct {
	VM      string `json:"vm"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Leaving bool   `json:"leaving"`
	// Boot identifies the run of the VM's process.
	Boot string `json:"boot"`
}
