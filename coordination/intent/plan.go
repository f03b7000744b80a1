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

// MaxStatusAge is the maximum age of a hall status that a plan or a step may use.
const MaxStatusAge = 15 * time.Second

// maxLinkUse is the fraction of a link's limit that a plan may use.
const maxLinkUse = 90 * share.Percent

// Facts are the inputs of a plan.
type Facts struct {
	// ID becomes the id of the plan and its intent; the ids of its moves begin with
	// it.
	ID string
	// View holds the traffic object that the plan is made from.
	View  *view.View
	Halls map[string]load.HallStatus
	Now   time.Time
}

// Plan describes the effects of an intent. It is valid for a single edit of the
// traffic object.
type Plan struct {
	ID     string   `json:"id"`
	Intent Envelope `json:"intent"`
	// Edit is the edit of the traffic object that the plan was made from.
	Edit   uint64    `json:"edit"`
	MadeAt time.Time `json:"made"`
	// Changes are the moves to add; Cap and Leaving are the cap and the drained
	// worker to add.
	Changes []spec.Move `json:"changes,omitempty"`
	Cap     *spec.Cap   `json:"cap,omitempty"`
	Leaving string      `json:"leaving,omitempty"`
	Steps   []Step      `json:"steps,omitempty"`
	Halls   []HallLoad  `json:"halls,omitempty"`
	Links   []LinkLoad  `json:"links,omitempty"`
	// MinDuration is the minimum time until the goal is reached.
	MinDuration time.Duration `json:"takes_ns"`
	// PausedBy and StoppedBy list the conditions that would pause, reduce or stop
	// the move.
	PausedBy  []string `json:"paused_by,omitempty"`
	StoppedBy []string `json:"stopped_by,omitempty"`
	Notes     []string `json:"notes,omitempty"`
}

// Step is a planned increase of the share.
type Step struct {
	Number int           `json:"number"`
	Share  share.PPM     `json:"share"`
	After  time.Duration `json:"after_ns"`
}

// HallLoad is the predicted number of slots in use by a service in a hall.
type HallLoad struct {
	Hall     string        `json:"hall"`
	Service  string        `json:"service"`
	Usable   int           `json:"usable"`
	Before   float64       `json:"before"`
	After    float64       `json:"after"`
	Headroom float64       `json:"headroom_after"`
	Age      time.Duration `json:"age_ns"`
}

// LinkLoad is the predicted traffic over a link, in bytes per second.
type LinkLoad struct {
	From   string  `json:"from"`
	To     string  `json:"to"`
	Limit  int64   `json:"limit"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
}

// Refusal explains why no plan can be made.
type Refusal struct {
	Reason string
}

// Error implements error.
func (r *Refusal) Error() string { return "intent: refused: " + r.Reason }

func refuse(format string, args ...any) error {
	return &Refusal{Reason: fmt.Sprintf(format, args...)}
}

// MakePlan returns a plan for an intent. It returns ErrInvalidIntent if the intent
// refers to something that does not exist, and a *Refusal if it cannot be carried
// out.
func MakePlan(in Intent, f Facts) (Plan, error) {
	p := Plan{ID: f.ID, Intent: Envelope{Intent: in}, Edit: f.View.Traffic().Edit, MadeAt: f.Now}
	var err error
	switch in := in.(type) {
	case Shift:
		err = p.planShift(in, f)
	case DrainHall:
		err = p.planDrainHall(in, f)
	case DrainUpstream:
		err = p.planDrainUpstream(in, f)
	case Cap:
		err = p.planCap(in, f)
	default:
		err = errors.Wrap(ErrInvalidIntent, "missing or unsupported intent")
	}
	return p, err
}

func (p *Plan) planShift(in Shift, f Facts) error {
	limit := in.Share
	if in.Cap != nil {
		limit = *in.Cap
	}
	if in.Step == 0 {
		in.Step = DefaultShiftStep
	}
	if in.Share == 0 || limit == 0 {
		return errors.Wrap(ErrInvalidIntent, "share and cap must be above 0%")
	}
	if _, ok := f.View.Service(in.Service); !ok {
		return errors.Wrapf(ErrInvalidIntent, "service %q is unknown", in.Service)
	}
	for _, hall := range []string{in.From, in.To} {
		if f.View.Fleet().Region(hall) == "" {
			return errors.Wrapf(ErrInvalidIntent, "hall %q is unknown", hall)
		}
	}
	if in.From == in.To {
		return errors.Wrap(ErrInvalidIntent, "from and to are the same hall")
	}
	if err := p.checkConflicts(f, in.Service, in.From, in.To); err != nil {
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

// checkConflicts refuses a move out of a hall that a move in force already drains,
// or into a hall that a move in force takes requests from.
func (p *Plan) checkConflicts(f Facts, service, from, to string) error {
	for _, m := range f.View.Traffic().Moves {
		if m.Service != service || m.State == spec.MoveStopped {
			continue
		}
		if m.From == to && m.EffectiveShare() > 0 {
			return refuse("move %s already takes %s of %s out of hall %s", m.ID, m.Share, service, to)
		}
		if m.From == from && m.Drain {
			return refuse("move %s already drains %s out of hall %s", m.ID, service, from)
		}
	}
	return nil
}

func (p *Plan) planDrainHall(in DrainHall, f Facts) error {
	if f.View.Fleet().Region(in.Hall) == "" {
		return errors.Wrapf(ErrInvalidIntent, "hall %q is unknown", in.Hall)
	}
	if in.Step == 0 {
		in.Step = DefaultDrainStep
	}
	for i, service := range f.View.Services() {
		s, _ := f.View.Service(service)
		if s.Slots(in.Hall) == 0 && f.Halls[in.Hall].Services[service].Offered == 0 {
			continue
		}
		targets, err := p.chooseTargets(f, service, in.Hall)
		if err != nil {
			return err
		}
		if err := p.checkConflicts(f, service, in.Hall, ""); err != nil {
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

// chooseTargets selects the targets of a drain, weighted by spare slots: halls of
// the same region if they have enough spare slots, otherwise all halls with spare
// slots.
func (p *Plan) chooseTargets(f Facts, service, from string) ([]spec.Target, error) {
	needed := f.Halls[from].Services[service].Busy
	region := f.View.Fleet().Region(from)
	sameRegion, sameRegionSpare := p.hallsWithSpareSlots(f, service, from, func(r string) bool { return r == region })
	if len(sameRegion) > 0 && sameRegionSpare >= needed {
		return sameRegion, nil
	}
	all, totalSpare := p.hallsWithSpareSlots(f, service, from, func(string) bool { return true })
	if len(all) == 0 || totalSpare < needed {
		return nil, refuse("draining hall %s needs %.1f slots for %s, and the other halls have %.1f to spare within their headroom",
			from, needed, service, totalSpare)
	}
	return all, nil
}

func (p *Plan) hallsWithSpareSlots(f Facts, service, from string, includeRegion func(region string) bool) ([]spec.Target, float64) {
	var targets []spec.Target
	total := 0.0
	for _, h := range f.View.Fleet().Halls {
		if h.Name == from || !includeRegion(h.Region) || p.isDrained(f, service, h.Name) {
			continue
		}
		status, ok := f.Halls[h.Name]
		if !ok || status.Age(f.Now) > MaxStatusAge {
			continue
		}
		spare := spareSlots(status.Services[service], f.View.Fleet().Headroom())
		if spare >= 1 && len(targets) < spec.MaxTargets {
			targets = append(targets, spec.Target{Hall: h.Name, Weight: uint32(spare * 100)})
			total += spare
		}
	}
	return targets, total
}

func (p *Plan) isDrained(f Facts, service, hall string) bool {
	for _, m := range f.View.Moves(service, hall) {
		if m.Drain {
			return true
		}
	}
	return false
}

// spareSlots returns how many slots are available without using the headroom.
func spareSlots(s load.ServiceStatus, headroom share.PPM) float64 {
	reserved := float64(headroom.Scale(uint64(s.Usable)))
	return float64(s.Usable) - reserved - math.Max(s.Busy, float64(s.InUse))
}

func (p *Plan) planDrainUpstream(in DrainUpstream, f Facts) error {
	for _, service := range f.View.Services() {
		s, _ := f.View.Service(service)
		for _, w := range s.Workers {
			if w.ID != in.Upstream {
				continue
			}
			if f.View.IsLeaving(w.ID) {
				return refuse("upstream %s is drained already", w.ID)
			}
			p.Leaving = w.ID
			return p.predictWorker(f, s, w)
		}
	}
	return errors.Wrapf(ErrInvalidIntent, "upstream %q is unknown", in.Upstream)
}

func (p *Plan) planCap(in Cap, f Facts) error {
	if in.Service != "" {
		if _, ok := f.View.Service(in.Service); !ok {
			return errors.Wrapf(ErrInvalidIntent, "service %q is unknown", in.Service)
		}
	}
	if in.From != "" && f.View.Fleet().Region(in.From) == "" {
		return errors.Wrapf(ErrInvalidIntent, "hall %q is unknown", in.From)
	}
	p.Cap = &spec.Cap{ID: f.ID, Service: in.Service, From: in.From, Limit: in.Limit}
	for _, m := range f.View.Traffic().Moves {
		if m.Drain && !m.Ended() && p.Cap.Covers(m.Service, m.From) && in.Limit < share.Whole {
			p.Notes = append(p.Notes, fmt.Sprintf("Drain %s of hall %s cannot end under this cap.", m.ID, m.From))
		}
	}
	return nil
}
