// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package intent

import (
	"fmt"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/view"
)

// FreshStatus is the oldest hall status that a plan or a step may rest on.
const FreshStatus = 15 * time.Second

// linkCeiling is the part of a link's limit that a plan may fill.
const linkCeiling = 90 * share.Percent

// Facts are what a plan rests on.
type Facts struct {
	// ID is the id that the plan and its moves get.
	ID string
	// View holds the traffic object that the plan is made from.
	View  *view.View
	Halls map[string]load.HallStatus
	Now   time.Time
}

// Plan says what an intent would do. It holds for one edit of the traffic object
// and is void after the next.
type Plan struct {
	ID     string   `json:"id"`
	Intent Envelope `json:"intent"`
	// Edit is the edit of the traffic object that it was made from.
	Edit uint64    `json:"edit"`
	Made time.Time `json:"made"`
	// Changes are the moves to begin; Cap and Leaving the rest.
	Changes []spec.Move `json:"changes,omitempty"`
	Cap     *spec.Cap   `json:"cap,omitempty"`
	Leaving string      `json:"leaving,omitempty"`
	Steps   []Step      `json:"steps,omitempty"`
	Halls   []HallLoad  `json:"halls,omitempty"`
	Links   []LinkLoad  `json:"links,omitempty"`
	// Takes is the least time until the goal is reached.
	Takes time.Duration `json:"takes_ns"`
	// PausedBy and StoppedBy list the rules that would hold the move up.
	PausedBy  []string `json:"paused_by,omitempty"`
	StoppedBy []string `json:"stopped_by,omitempty"`
	Notes     []string `json:"notes,omitempty"`
}

// Step is one planned growth of the share.
type Step struct {
	Number int           `json:"number"`
	Share  share.PPM     `json:"share"`
	After  time.Duration `json:"after_ns"`
}

// HallLoad is the work in flight of one service in one hall, in slots.
type HallLoad struct {
	Hall     string        `json:"hall"`
	Service  string        `json:"service"`
	Usable   int           `json:"usable"`
	Before   float64       `json:"before"`
	After    float64       `json:"after"`
	Headroom float64       `json:"headroom_after"`
	Age      time.Duration `json:"age_ns"`
}

// LinkLoad is the traffic over one link, in bytes per second.
type LinkLoad struct {
	From   string  `json:"from"`
	To     string  `json:"to"`
	Limit  int64   `json:"limit"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
}

// Refusal says why no plan can be made.
type Refusal struct {
	Reason string
}

// Error implements error.
func (r *Refusal) Error() string { return "intent: refused: " + r.Reason }

func refuse(format string, args ...any) error {
	return &Refusal{Reason: fmt.Sprintf(format, args...)}
}

// Make answers an intent with a plan. It returns ErrIntent if the intent names
// what does not exist, and a *Refusal if it cannot be carried out.
func Make(in Intent, f Facts) (Plan, error) {
	p := Plan{ID: f.ID, Intent: Envelope{Intent: in}, Edit: f.View.Traffic().Edit, Made: f.Now}
	var err error
	switch in := in.(type) {
	case Shift:
		err = p.shift(in, f)
	case DrainHall:
		err = p.drainHall(in, f)
	case DrainUpstream:
		err = p.drainUpstream(in, f)
	case Cap:
		err = p.limit(in, f)
	default:
		err = errors.Wrap(ErrIntent, "no intent given")
	}
	return p, err
}

func (p *Plan) shift(in Shift, f Facts) error {
	limit := in.Share
	if in.Cap != nil {
		limit = *in.Cap
	}
	if in.Step == 0 {
		in.Step = DefaultShiftStep
	}
	if in.Share == 0 || limit == 0 {
		return errors.Wrap(ErrIntent, "share and cap must be above 0%")
	}
	if _, ok := f.View.Service(in.Service); !ok {
		return errors.Wrapf(ErrIntent, "service %q is unknown", in.Service)
	}
	for _, hall := range []string{in.From, in.To} {
		if f.View.Fleet().Region(hall) == "" {
			return errors.Wrapf(ErrIntent, "hall %q is unknown", hall)
		}
	}
	if in.From == in.To {
		return errors.Wrap(ErrIntent, "from and to are the same hall")
	}
	if err := p.notMoving(f, in.Service, in.From, in.To); err != nil {
		return err
	}
	m := spec.Move{
		ID: f.ID, Intent: f.ID, Service: in.Service, From: in.From,
		Targets: []spec.Target{{Hall: in.To, Weight: 1}},
		Goal:    min(in.Share, limit), Cap: limit, Step: in.Step, State: spec.MoveConfirmed,
	}
	if limit < in.Share {
		p.Notes = append(p.Notes, fmt.Sprintf("The cap %s holds the move below the share %s that was asked for.", limit, in.Share))
	}
	p.Changes = []spec.Move{m}
	return p.predict(f)
}

// notMoving refuses a second move of a service between halls that a move in
// force already touches in the other direction or in the same place.
func (p *Plan) notMoving(f Facts, service, from, to string) error {
	for _, m := range f.View.Traffic().Moves {
		if m.Service != service || m.State == spec.MoveStopped {
			continue
		}
		if m.From == to && m.Effective() > 0 {
			return refuse("move %s already takes %s of %s out of hall %s", m.ID, m.Share, service, to)
		}
		if m.From == from && m.Drain {
			return refuse("move %s already drains %s out of hall %s", m.ID, service, from)
		}
	}
	return nil
}

func (p *Plan) drainHall(in DrainHall, f Facts) error {
	if f.View.Fleet().Region(in.Hall) == "" {
		return errors.Wrapf(ErrIntent, "hall %q is unknown", in.Hall)
	}
	if in.Step == 0 {
		in.Step = DefaultDrainStep
	}
	for i, service := range f.View.Services() {
		s, _ := f.View.Service(service)
		if s.Slots(in.Hall) == 0 && f.Halls[in.Hall].Services[service].Offered == 0 {
			continue
		}
		targets, err := p.targets(f, service, in.Hall)
		if err != nil {
			return err
		}
		if err := p.notMoving(f, service, in.Hall, ""); err != nil {
			return err
		}
		p.Changes = append(p.Changes, spec.Move{
			ID: fmt.Sprintf("%s-%d", f.ID, i+1), Intent: f.ID, Service: service, From: in.Hall,
			Targets: targets, Goal: share.Whole, Cap: share.Whole, Step: in.Step,
			State: spec.MoveConfirmed, Drain: true,
		})
	}
	if len(p.Changes) == 0 {
		return refuse("hall %s has nothing to drain", in.Hall)
	}
	return p.predict(f)
}

// targets chooses where a hall's service goes: halls of the same region if they
// have room for all of it, else every hall with room, by weight of the room.
func (p *Plan) targets(f Facts, service, from string) ([]spec.Target, error) {
	need := f.Halls[from].Services[service].Busy
	region := f.View.Fleet().Region(from)
	near, nearRoom := p.roomy(f, service, from, func(r string) bool { return r == region })
	if len(near) > 0 && nearRoom >= need {
		return near, nil
	}
	all, room := p.roomy(f, service, from, func(string) bool { return true })
	if len(all) == 0 || room < need {
		return nil, refuse("draining hall %s needs %.1f slots for %s, and the other halls have %.1f to spare within their headroom",
			from, need, service, room)
	}
	return all, nil
}

func (p *Plan) roomy(f Facts, service, from string, in func(region string) bool) ([]spec.Target, float64) {
	var targets []spec.Target
	total := 0.0
	for _, h := range f.View.Fleet().Halls {
		if h.Name == from || !in(h.Region) || p.drained(f, service, h.Name) {
			continue
		}
		status, ok := f.Halls[h.Name]
		if !ok || status.Age(f.Now) > FreshStatus {
			continue
		}
		room := spare(status.Services[service], f.View.Fleet().Headroom())
		if room >= 1 && len(targets) < spec.MaxTargets {
			targets = append(targets, spec.Target{Hall: h.Name, Weight: uint32(room * 100)})
			total += room
		}
	}
	return targets, total
}

func (p *Plan) drained(f Facts, service, hall string) bool {
	for _, m := range f.View.Moves(service, hall) {
		if m.Drain {
			return true
		}
	}
	return false
}

// spare is how many slots a hall could take on and keep its headroom.
func spare(s load.ServiceStatus, headroom share.PPM) float64 {
	reserved := float64(headroom.Scale(uint64(s.Usable)))
	return float64(s.Usable) - reserved - math.Max(s.Busy, float64(s.InUse))
}

func (p *Plan) drainUpstream(in DrainUpstream, f Facts) error {
	for _, service := range f.View.Services() {
		s, _ := f.View.Service(service)
		for _, w := range s.Workers {
			if w.ID != in.Upstream {
				continue
			}
			if f.View.Leaving(w.ID) {
				return refuse("upstream %s is drained already", w.ID)
			}
			p.Leaving = w.ID
			return p.predictWorker(f, s, w)
		}
	}
	return errors.Wrapf(ErrIntent, "upstream %q is unknown", in.Upstream)
}

func (p *Plan) limit(in Cap, f Facts) error {
	if in.Service != "" {
		if _, ok := f.View.Service(in.Service); !ok {
			return errors.Wrapf(ErrIntent, "service %q is unknown", in.Service)
		}
	}
	if in.From != "" && f.View.Fleet().Region(in.From) == "" {
		return errors.Wrapf(ErrIntent, "hall %q is unknown", in.From)
	}
	p.Cap = &spec.Cap{ID: f.ID, Service: in.Service, From: in.From, Limit: in.Limit}
	for _, m := range f.View.Traffic().Moves {
		if m.Drain && !m.Ended() && p.Cap.Covers(m.Service, m.From) && in.Limit < share.Whole {
			p.Notes = append(p.Notes, fmt.Sprintf("Drain %s of hall %s cannot end under this cap.", m.ID, m.From))
		}
	}
	return nil
}
