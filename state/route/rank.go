// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package route

import (
	"cmp"
	"slices"

	"github.com/ryehill/ryehill/state/workspace"
)

// rank is the order in which requests are served: by the priority of the workspace, which
// is that of the route for requests without one, and then by that of the route.
type rank struct{ workspace, route int }

func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.route, b.route))
}

// rankOf returns the rank of a workspace's requests on a route.
func rankOf(r *Route, w *workspace.Workspace) rank {
	if w == nil {
		return rank{workspace: r.Priority, route: r.Priority}
	}
	return rank{workspace: w.Priority(), route: r.Priority}
}

// collectRanks returns the different ranks of the requests that may go to each service.
func (t *Table) collectRanks() map[string][]rank {
	ranks := make(map[string][]rank, len(t.services))
	priorities := t.workspaces.Priorities()
	for _, prefixes := range t.hosts {
		for _, r := range prefixes {
			var all []rank
			if t.workspaces == nil || r.Public {
				all = append(all, rankOf(r, nil))
			}
			for _, priority := range priorities {
				all = append(all, rank{workspace: priority, route: r.Priority})
			}
			for _, target := range r.Targets {
				if target.Weight > 0 {
					ranks[target.Service] = append(ranks[target.Service], all...)
				}
			}
		}
	}
	for service, all := range ranks {
		slices.SortFunc(all, compareRanks)
		ranks[service] = slices.Compact(all)
	}
	return ranks
}

// Rank returns the position of a request among the different ranks of the requests that may
// go to a service, 0 being served first, and the number of these ranks. The workspace is nil
// if the request has none.
func (t *Table) Rank(service string, r *Route, w *workspace.Workspace) (position, ranks int) {
	all := t.ranks[service]
	position, _ = slices.BinarySearchFunc(all, rankOf(r, w), compareRanks)
	return min(position, max(len(all)-1, 0)), len(all)
}
