package operator

import (
	"context"
	"crypto/rand"
	"net/http"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"almondcove/entry"
	"almondcove/fleet"
	"almondcove/roll"
	"almondcove/timeline"
)

// keyIDLength is the number of characters in the public id of a key.
const keyIDLength = 8

// Timeline is the response to GET /timeline.
type Timeline struct {
	Events []timeline.Event `json:"events"`
	// Missing lists the entries that did not answer, whose events are not included.
	Missing []string `json:"missing,omitempty"`
}

type noInput struct{}

func (h *handler) registerViews(api huma.API) {
	type statusOutput struct{ Body entry.Status }
	register(api, http.MethodGet, "/status", "status", "What this entry knows",
		func(context.Context, *noInput) (*statusOutput, error) {
			return &statusOutput{Body: h.backend.Status()}, nil
		})
	type forecastOutput struct{ Body []roll.Forecast }
	register(api, http.MethodGet, "/maintenance", "maintenance", "How the maintenance of each pool goes",
		func(context.Context, *noInput) (*forecastOutput, error) {
			return &forecastOutput{Body: h.backend.Forecasts()}, nil
		})
	type filter struct {
		Task string `query:"task"`
		VM   string `query:"vm"`
		Team string `query:"team"`
		Key  string `query:"key"`
		Kind string `query:"kind"`
	}
	type timelineOutput struct{ Body Timeline }
	register(api, http.MethodGet, "/timeline", "timeline", "The merged events of all entries",
		func(ctx context.Context, in *filter) (*timelineOutput, error) {
			events, missing := h.backend.Timeline(ctx, timeline.Filter(*in))
			return &timelineOutput{Body: Timeline{Events: events, Missing: missing}}, nil
		})
}

func (h *handler) registerConfig(api huma.API) {
	type document struct{ Body fleet.Document }
	type load struct {
		WaitParams
		Body fleet.Document
	}
	register(api, http.MethodGet, "/config", "get-config", "The configuration without its keys",
		func(context.Context, *noInput) (*document, error) {
			return &document{Body: h.backend.EffectiveConfig().Document()}, nil
		})
	register(api, http.MethodPut, "/config", "load-config", "Replace the configuration except its keys",
		func(ctx context.Context, in *load) (*output, error) {
			return h.change(ctx, fleet.ConfigLoad{Config: in.Body.Config(), At: time.Now()}, in.WaitParams)
		})
	register(api, http.MethodPost, "/config/restore", "restore-config", "Write the held configuration into a platform that lost it",
		func(ctx context.Context, in *WaitParams) (*output, error) {
			wait, err := in.duration()
			if err != nil {
				return nil, err
			}
			result, err := h.backend.Restore(ctx)
			if err != nil {
				return nil, problemFor(err)
			}
			return h.awaitForce(ctx, result, nil, wait)
		})
	type NameParams struct {
		WaitParams
		Name string `path:"name"`
	}
	type setPreset struct {
		NameParams
		Body fleet.Preset
	}
	register(api, http.MethodPut, "/presets/{name}", "set-preset", "Create or replace a preset",
		func(ctx context.Context, in *setPreset) (*output, error) {
			return h.change(ctx, fleet.PresetSet{Name: in.Name, Preset: in.Body}, in.WaitParams)
		})
	register(api, http.MethodPost, "/presets/{name}/use", "use-preset", "Put a preset in force",
		func(ctx context.Context, in *NameParams) (*output, error) {
			return h.change(ctx, fleet.PresetUse{Name: in.Name}, in.WaitParams)
		})
	register(api, http.MethodPost, "/pools/{name}/maintain", "maintain-pool", "Make every VM of a pool due for maintenance",
		func(ctx context.Context, in *NameParams) (*output, error) {
			return h.change(ctx, fleet.PoolWave{Name: in.Name, At: time.Now()}, in.WaitParams)
		})
	type setTeam struct {
		NameParams
		Body fleet.Team
	}
	register(api, http.MethodPut, "/teams/{name}", "set-team", "Create or replace a team",
		func(ctx context.Context, in *setTeam) (*output, error) {
			return h.change(ctx, fleet.TeamSet{Name: in.Name, Team: in.Body}, in.WaitParams)
		})
	type setQueue struct {
		NameParams
		Body fleet.Queue
	}
	register(api, http.MethodPut, "/queues/{name}", "set-queue", "Create or replace a queue",
		func(ctx context.Context, in *setQueue) (*output, error) {
			return h.change(ctx, fleet.QueueSet{Name: in.Name, Queue: in.Body}, in.WaitParams)
		})
	type setPool struct {
		NameParams
		Body fleet.Pool
	}
	register(api, http.MethodPut, "/pools/{name}", "set-pool", "Create or replace a pool",
		func(ctx context.Context, in *setPool) (*output, error) {
			return h.change(ctx, fleet.PoolSet{Name: in.Name, Pool: in.Body}, in.WaitParams)
		})
}

func (h *handler) registerKeys(api huma.API) {
	// The schema name GrantBody in /openapi.json derives from the name of this type.
	type grant struct {
		WaitParams
		Body struct {
			Team string `json:"team" doc:"the team that the key belongs to"`
		}
	}
	register(api, http.MethodPost, "/keys", "grant-key", "Grant a key; its text is shown only here",
		func(ctx context.Context, in *grant) (*output, error) {
			id, secret := strings.ToLower(rand.Text()[:keyIDLength]), rand.Text()
			key := fleet.Key{Team: in.Body.Team, Hash: fleet.HashSecret(secret)}
			out, err := h.change(ctx, fleet.KeyGrant{ID: id, Key: key}, in.WaitParams)
			if err == nil {
				out.Body.ID, out.Body.Key = id, fleet.JoinKey(id, secret)
			}
			return out, err
		})
	type withdraw struct {
		WaitParams
		ID string `path:"id" doc:"the id of the key: its text up to the dot"`
	}
	register(api, http.MethodDelete, "/keys/{id}", "withdraw-key", "End a key for ever",
		func(ctx context.Context, in *withdraw) (*output, error) {
			// Operators may paste the whole key instead of its id.
			id, _, _ := strings.Cut(in.ID, ".")
			return h.restrict(ctx, fleet.Restriction{Kind: fleet.RestrictKey, Name: id}, in.WaitParams)
		})
	type keysOutput struct {
		Body map[string]KeyView
	}
	register(api, http.MethodGet, "/keys", "list-keys", "The ids of all keys",
		func(context.Context, *noInput) (*keysOutput, error) {
			out := &keysOutput{Body: make(map[string]KeyView)}
			for id, k := range h.backend.EffectiveConfig().Keys {
				out.Body[id] = KeyView{Team: k.Team, Gone: k.Withdrawn}
			}
			return out, nil
		})
}

// KeyView is the part of a key that operators can list. It has no secret.
type KeyView struct {
	Team string `json:"team"`
	// Gone reports whether the key is withdrawn.
	Gone bool `json:"gone"`
}

func (h *handler) registerFleet(api huma.API) {
	type NameParams struct {
		WaitParams
		Name string `path:"name"`
	}
	// The schema name MoveBody in /openapi.json derives from the name of this type.
	type move struct {
		NameParams
		Body struct {
			Pool string `json:"pool" doc:"the pool that the VM goes to"`
		}
	}
	register(api, http.MethodPost, "/vms/{name}/move", "move-vm", "Move a VM to another pool",
		func(ctx context.Context, in *move) (*output, error) {
			return h.change(ctx, fleet.VMMove{Name: in.Name, Pool: in.Body.Pool}, in.WaitParams)
		})
	register(api, http.MethodPost, "/vms/{name}/leave", "leave-vm", "Stop new tasks on a VM",
		func(ctx context.Context, in *NameParams) (*output, error) {
			return h.restrict(ctx, fleet.Restriction{Kind: fleet.RestrictVM, Name: in.Name}, in.WaitParams)
		})
	register(api, http.MethodPost, "/vms/{name}/return", "return-vm", "Let a VM take tasks again",
		func(ctx context.Context, in *NameParams) (*output, error) {
			return h.change(ctx, fleet.VMReturn{Name: in.Name, Stamp: h.backend.Stamp()}, in.WaitParams)
		})
	register(api, http.MethodPost, "/centres/{name}/out", "centre-out", "Stop new tasks in a data centre",
		func(ctx context.Context, in *NameParams) (*output, error) {
			return h.restrict(ctx, fleet.Restriction{Kind: fleet.RestrictCentre, Name: in.Name}, in.WaitParams)
		})
	register(api, http.MethodPost, "/centres/{name}/back", "centre-back", "Let a data centre take tasks again",
		func(ctx context.Context, in *NameParams) (*output, error) {
			return h.change(ctx, fleet.CentreBack{Name: in.Name, Stamp: h.backend.Stamp()}, in.WaitParams)
		})
	// The schema name RemoveOutputBody in /openapi.json derives from the name of this
	// type.
	type removeOutput struct {
		Body struct {
			Removed string `json:"removed"`
		}
	}
	register(api, http.MethodDelete, "/entries/{name}", "remove-entry", "Declare an entry that can't be reached to have ended",
		func(_ context.Context, in *NameParams) (*removeOutput, error) {
			if err := h.backend.Remove(in.Name); err != nil {
				return nil, problemFor(err)
			}
			out := &removeOutput{}
			out.Body.Removed = in.Name
			return out, nil
		})
}
