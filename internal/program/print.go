// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package program

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/transport/entry"
	"github.com/ryehill/ryehill/transport/operator"
)

func newTable(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 0, 2, ' ', 0) }

func printPlan(w io.Writer, p *intent.Plan) error {
	printf(w, "plan %s, made from edit %d, takes at least %s\n", p.ID, p.Edit, p.MinDuration)
	for _, m := range p.Changes {
		printf(w, "  move %s: %s of %s from %s to %s, cap %s, step %s\n", m.ID, m.Goal, m.Service, m.From, targetText(m.Targets), m.Cap, m.Step)
	}
	if p.Cap != nil {
		printf(w, "  cap %s: %s of service %q from hall %q\n", p.Cap.ID, p.Cap.Limit, p.Cap.Service, p.Cap.From)
	}
	if p.Leaving != "" {
		printf(w, "  upstream %s gets no new work\n", p.Leaving)
	}
	table := newTable(w)
	if len(p.Halls) > 0 {
		printf(table, "HALL\tSERVICE\tUSABLE\tBEFORE\tAFTER\tHEADROOM\tAGE\n")
	}
	for _, h := range p.Halls {
		printf(table, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%s\n", h.Hall, h.Service, h.Usable, h.Before, h.After, h.Headroom, h.Age.Round(time.Millisecond))
	}
	for _, l := range p.Links {
		printf(table, "link %s-%s\t\t%d B/s\t%.0f\t%.0f\t\t\n", l.From, l.To, l.Limit, l.Before, l.After)
	}
	for _, s := range p.Steps {
		printf(table, "step %d\tto %s\tafter %s\t\t\t\t\n", s.Number, s.Share, s.After)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	printList(w, "note", p.Notes)
	printList(w, "paused by", p.PausedBy)
	printList(w, "stopped by", p.StoppedBy)
	printf(w, "nothing has moved yet; to carry it out: ryehill confirm %s\n", p.ID)
	return nil
}

func printList(w io.Writer, title string, lines []string) {
	for _, line := range lines {
		printf(w, "%s: %s\n", title, line)
	}
}

func targetText(targets []spec.Target) string {
	text := ""
	for i, t := range targets {
		if i > 0 {
			text += ", "
		}
		text += t.Hall
	}
	return text
}

func printStatus(w io.Writer, s *operator.Status) error {
	printf(w, "VM %s in hall %s, generation %d, platform %s\n", s.VM, s.Hall, s.Generation, s.Platform)
	table := newTable(w)
	printf(table, "HALL\tSERVICE\tSLOTS\tUSABLE\tIN USE\tLENT\tOFFERED/S\tMOVED/S\tREFUSED/S\tGENERATION\tAGE\n")
	for _, h := range s.Halls {
		for _, name := range sortedKeys(h.Services) {
			v := h.Services[name]
			printf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%d\t%s\n", h.Hall, name, v.Slots, v.Usable, v.InUse, v.Lent,
				v.Offered, v.Moved, v.Refused, h.Generation, h.Age(time.Now()).Round(time.Second))
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	table = newTable(w)
	for _, m := range s.Moves {
		printf(table, "move %s\t%s\t%s to %s\t%s of %s, cap %s\t%s\t%s\n", m.ID, m.Service, m.From, targetText(m.Targets), m.Share, m.Goal, m.Cap, m.State, m.Reason)
	}
	for _, c := range s.Caps {
		printf(table, "cap %s\t%s\t%s\t%s\t\t\n", c.ID, orAll(c.Service), orAll(c.From), c.Limit)
	}
	for _, upstream := range s.Leaving {
		printf(table, "drained upstream\t%s\t\t\t\t\n", upstream)
	}
	for _, e := range s.Unused {
		printf(table, "not used: %s\t%s\t%s\t\t\t\n", e.Kind, e.Name, e.Reason)
	}
	for _, h := range s.HeldBack {
		printf(table, "%s: %s\t%s\t%s\tby %s\t%s\t\n", h.State, h.Worker, h.Service, h.Hall, h.From, heldBackText(h))
	}
	for _, m := range s.Members {
		printf(table, "VM %s\t%s\t%s\t\t\t\n", m.VM, m.Hall, m.State)
	}
	return table.Flush()
}

// heldBackText says for how long a worker is held back, or how much it takes and since when.
func heldBackText(h operator.HeldBackWorker) string {
	if h.SinceMillis > 0 {
		return fmt.Sprintf("%.1f a second, for %d ms", h.PerS, h.SinceMillis)
	}
	return fmt.Sprintf("%d ms", h.LeftMillis)
}

func orAll(name string) string {
	if name == "" {
		return "all"
	}
	return name
}

func printExplanation(w io.Writer, e *operator.Explanation) error {
	if m := e.Move; m != nil {
		printf(w, "move %s of intent %s: %s of %s from %s to %s, cap %s, %s\n", m.ID, m.Intent, m.Share, m.Service, m.From, targetText(m.Targets), m.Cap, m.State)
		for _, h := range m.History {
			printf(w, "  %s  %-9s %-8s %s\n", time.UnixMilli(h.At).UTC().Format("15:04:05.000"), h.State, h.Share, h.Reason)
		}
		printList(w, "  the last change rested on", m.Facts)
	}
	d := e.Decision
	if d == nil {
		return nil
	}
	printf(w, "decision %s at VM %s, %s, generation %d\n", d.ID, d.VM, d.Time.UTC().Format(time.RFC3339Nano), d.Generation)
	printf(w, "  %s\n  rule: %s\n  result: %s\n", d.Subject, d.Rule, d.Result)
	for _, in := range d.Inputs {
		age := ""
		if in.Age > 0 {
			age = ", " + in.Age.Round(time.Millisecond).String() + " old"
		}
		printf(w, "  %s: %s%s\n", in.Name, in.Value, age)
	}
	return nil
}

func printLookup(w io.Writer, a *entry.LookupResponse) error {
	printf(w, "client %s of %s: hall %s, good for %d ms, generation %d\n", a.Client, a.Service, a.Hall, a.TTLMillis, a.Generation)
	for i, vm := range a.VMs {
		printf(w, "%d  %s  %s  %s\n", i+1, vm.ID, vm.Hall, vm.Entry)
	}
	printf(w, "ticket %s\n", a.Ticket)
	return nil
}
