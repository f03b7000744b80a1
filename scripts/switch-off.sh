#!/usr/bin/env bash
# Copyright 2026 The ryehill Authors
# SPDX-License-Identifier: Apache-2.0
#
# Switches each mechanism off, one at a time, in a scratch copy of the committed
# tree, and runs the test that must fail without it. Prints one line for each:
# "caught" if the test failed, "MISSED" if it passed. Exits 1 if any was missed.
#
# usage: scripts/switch-off.sh [NAME]
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git clone -q "$top" "$scratch/tree"
cd "$scratch/tree"
missed=0

# A test that fails anyway would count as caught.
only=${1:-}
if [ -z "$only" ]; then
  go test -count=1 -p 1 ./... >/dev/null || { echo "the committed tree is not green"; exit 1; }
fi

change() {
  OLD=$2 NEW=$3 perl -0pi -e 's/\Q$ENV{OLD}\E/$ENV{NEW}/ or die "not found\n"' "$1"
}

# off NAME FILE OLD NEW PACKAGE TEST [FILE OLD NEW], the latter where a second
# line of defence has to go too.
off() {
  local name=$1 file=$2 old=$3 new=$4 package=$5 test=$6
  if [ -n "$only" ]; then
    if [ "$only" != "$name" ]; then return; fi
    go test -count=1 -run "$test" "$package" >/dev/null || { echo "RED     $name fails anyway"; missed=1; return; }
  fi
  change "$file" "$old" "$new"
  if [ $# -gt 6 ]; then change "$7" "$8" "$9"; fi
  if ! go vet "$package" >/dev/null 2>&1; then
    echo "BROKEN  $name: the copy does not compile"; missed=1
  elif timeout 180 go test -count=1 -run "$test" "$package" >/dev/null 2>&1; then
    echo "MISSED  $name ($test)"; missed=1
  else
    echo "caught  $name ($test)"
  fi
  git checkout -q -- .
}
off cap-credit state/quota/quota.go 'if b.tokens < requestCost {' 'if b.tokens < 0 {' ./state/quota TestCapHolds
off common-cap coordination/steer/steer.go 'caps: s.countForCaps(v, service, hall)}' 'caps: s.countForCaps(v, service, hall)[:0]}' ./coordination/steer TestCommonCapBinds
off step-share coordination/steer/steer.go 'b := s.bucket("move/"+m.ID, effective)' 'b := s.bucket("move/"+m.ID, m.Cap)' ./coordination/steer TestShareIsNotPassed
off caps-bind-balance coordination/placement/steer.go 'if !within || !c.SpendCaps() {' 'if false && (!within || !c.SpendCaps()) {' ./coordination/placement TestCapsLimitTheBalance
off moves-steer coordination/placement/steer.go 'if c.Rule() != steer.RuleMove || !c.Spend() {' 'if true {' ./internal/gateway TestDrainOfAHall
off write-known-again internal/gateway/traffic.go 'case err == nil && current.operation == operation &&' 'case false && current.operation == operation &&' ./internal/gateway TestLostAnswerToAStop
off lapse-grace internal/gateway/outage.go 'if !now.Before(outage.graceEnd()) {' 'if true {' ./internal/gateway TestEntriesThatLapse
off outliers-together internal/gateway/outliers.go 'if len(reported) == 0 || len(reported) > maxOutcomes {' 'if true {' ./internal/gateway TestVMsEjectFailingWorkerTogether
off most-spared coordination/placement/eligible.go 'if float64(len(ejected)) > maxEjectedShare' 'if false && float64(len(ejected)) > maxEjectedShare' ./coordination/placement TestEjectedWorkers
off time-over-is-no-failure transport/ingress/attempt.go 'return errors.Is(err, context.DeadlineExceeded) ||' 'return false && errors.Is(err, context.DeadlineExceeded) &&' ./transport/ingress TestWorkerOutcomes
off soak-once coordination/retry/retry.go 'case !a.NotRun && !a.Idempotent:' 'case false:' ./platform 'TestSoak$'
off soak-drain state/worker/availability.go 'ok && !leaving.Open(now) {' 'ok && false && !leaving.Open(now) {' ./platform 'TestSoak$'
off soak-closed coordination/placement/handover.go '!closing.Open(now) {' 'false && !closing.Open(now) {' ./platform 'TestSoak$'
off soak-stop internal/gateway/stop.go 'if err := g.clientServer.Shutdown(ctx); err != nil {' 'if err := g.clientServer.Close(); err != nil {' ./platform 'TestSoak$'
off holders-stay coordination/balance/balance.go 'if ok && holder.worker.Region == l.worker.Region {' 'if ok {' ./coordination/balance TestKeysStayInTheirRegion
off holders-table coordination/placement/ranking.go 'if !r.Keyed {
		return list' 'if true {
		return list' ./coordination/placement TestHolderTable
off holders-kept coordination/balance/balance.go 's.retainHolders(b.lastHolders, change)' '' ./coordination/balance TestKeysStayWhenAWorkerJoins
off holders-gaps state/holders/holders.go 'd.Since > current.version ||' '' ./state/holders 'TestGapsAreNotMerged|TestFollowersConverge'
off holders-spread internal/gateway/sync.go 'g.balancer.table.Merge(fromBalanced(reply.GetBalanced()))' '' ./internal/gateway TestVMsFollowOneTable
off loads-shared internal/gateway/sync.go 'g.applyAndForwardLoads(request.GetLoads())' '' ./internal/gateway TestVMsShareTheLoadOfWorkers
off losses-by-cause transport/ingress/losses.go 'case q.keyNewToWorker:' 'case false:' ./transport/ingress TestLossesByCause
off usable-slots coordination/capacity/pool.go 'if p.inUse >= usable || len(p.order) == 0 {' 'if len(p.order) == 0 {' ./coordination/capacity TestNeverMoreThanUsable
off lending-headroom coordination/capacity/grant.go 'usable - headroom - p.inUse' 'usable - 0*headroom - p.inUse' ./coordination/capacity TestNeverMoreThanUsable
off grant-lapse coordination/capacity/grant.go 'if !now.Before(g.expiresAt) {' 'if false && !now.Before(g.expiresAt) {' ./coordination/capacity TestGrantExpires
off holder-looks-at-clock coordination/capacity/holder.go 'if g.inUse < g.Slots && now.Before(g.ExpiresAt) &&' 'if g.inUse < g.Slots && now.Before(now.Add(1)) &&' ./coordination/capacity TestGrantExpires
off own-callers-first coordination/capacity/pool.go 'if p.inUse >= usable || len' 'if p.inUse+p.lentUnused() >= usable || len' ./coordination/capacity TestIdleLentSlots
off late-answer transport/upstream/head.go 'if x.client.cfg.Dialect.MatchesRequest(x.req, res) {' 'if true || stale < 0 {' ./transport/upstream TestStaleResponseIsSkipped
off nameless-answer transport/upstream/exchange.go 'reuse := !unmatched && ' 'reuse := (unmatched || !unmatched) && ' ./transport/upstream TestMisdirectedResponse
off announced-keep-alive transport/upstream/conn.go 'c.idleTimeout = min(c.idleTimeout, limit-limit/marginDivisor)' '_ = limit' ./transport/upstream TestKeepAliveTimeoutIsHonored
off once-not-again transport/ingress/attempt.go 'Idempotent: q.route.Repeatable, BodyConsumed' 'Idempotent: true, BodyConsumed' ./transport/ingress TestRetries
off answer-not-whole transport/ingress/response.go 'panic(http.ErrAbortHandler)' 'return' ./transport/ingress TestTruncatedResponse
off stopping-waits-on transport/ingress/silence.go 'if q.handler.stopping.Load() {' 'if false && q.handler.stopping.Load() {' ./transport/ingress TestTimeouts
off stop-answers-unread transport/pipeline/conn.go 'c.in.empty() && !socket.IsReadable(c.nc)' 'c.in.empty()' ./transport/pipeline TestShutdownAnswersWhatHasArrived
off stop-accepts-waiting transport/pipeline/accept.go 'n < maxWaiting && socket.IsReadable(l)' 'false && socket.IsReadable(l)' ./transport/pipeline TestShutdownAnswersWhatHasArrived
off unsent-is-free coordination/retry/retry.go 'case a.HomeFallback, a.Unsent && a.Number < maxUnsent:' 'case a.HomeFallback:' ./transport/ingress TestUnreachableWorkersUseNoRetries
off cold-owner coordination/placement/cold.go 'if len(owner) == 0 || owner[0] != c.cfg.VM {' 'if len(owner) == 0 {' ./coordination/placement TestColdRateOfAllVMs
off cold-isolated coordination/placement/cold.go 'if 2*len(live) < listed {' 'if false && 2*len(live) < listed {' ./coordination/placement 'TestColdRateOfAllVMs|TestColdRateOfIsolatedVMs'
off closed-halls coordination/placement/handover.go 'if s.Closed[w.Hall] {' 'if false && s.Closed[w.Hall] {' ./coordination/placement TestIneligibleWorkersGetNothing
off homes coordination/placement/eligible.go 'r.Allows != nil && !r.Allows(w.Region) ||' 'r.Allows != nil && r.Allows == nil ||' ./coordination/placement TestRegionsShare
off split-corrects coordination/placement/split.go 'if surplus[chosen] > splitSlack {' 'if false && surplus[chosen] > splitSlack {' ./coordination/placement TestSplit
off stale-calls-store internal/gateway/watch.go 'clock.Since(g.replica.ConfirmedAt(kind)) >= g.cfg.StaleAfter:' 'clock.Since(g.replica.ConfirmedAt(kind)) >= 100*g.cfg.StaleAfter:' ./internal/gateway TestChangesDoNotDependOnTheWatcher
off older-config internal/gateway/compile.go 'if c.routes != nil && cfg.Version < c.routes.Version() {' 'if false && cfg.Version < c.routes.Version() {' ./internal/gateway TestWorkersAndHalls
off replica-list-leaves-a-gap state/object/kind.go 'k.gaps = append(k.gaps, gap{from: k.version.Revision, to: upTo})' '_ = gap{from: k.version.Revision, to: upTo}' ./state/object TestDeletionBetweenLists
off replica-list-keeps-history state/object/kind.go 'if !k.initialized {
		k.history' 'if true {
		k.history' ./state/object TestDeltas
off large-parts-follow internal/gateway/sync.go 'g.replica.Changed(), g.largeReplies.slotFreed()' 'g.replica.Changed(), make(chan struct{})' ./internal/gateway TestLargePartsFollow
off key-hidden transport/ingress/attempt.go 'if q.stripAPIKey {' 'if false {' ./transport/ingress TestWorkspaceFromAPIKey
off key-needed transport/ingress/authenticate.go 'case !known:' 'case false:' ./transport/ingress TestWorkspaceFromAPIKey
off workspace-homes transport/ingress/authenticate.go '(q.workspace == nil || q.workspace.AllowsRegion(region))' 'true' ./transport/ingress TestWorkspaceHomeRegions
off strict-revocation internal/gateway/keys.go 'return !g.cfg.Bounds.StrictRevocation ||' 'return true ||' ./internal/gateway TestStrictRevocation
off strangers-are-bounded internal/gateway/keys.go 'if now.Sub(k.lastFetch) < keyFetchInterval {' 'if false {' ./internal/gateway TestUnknownKeysAreRateLimited
off quota-loans-end coordination/ratelimit/pool.go 'if !l.Until.After(now) && (first.VM' 'if false && (first.VM' ./coordination/ratelimit TestNoWindowExceedsTheLimit
off quota-one-pool coordination/ratelimit/lender.go 'if pool != l.pool && now.Before(l.until) {' 'if false {' ./coordination/ratelimit TestRestartsAndNewPoolsAddNoTokens
off quota-starts-empty coordination/ratelimit/local.go 'b := &bucket{lastRefill: s.createdAt}' 'b := &bucket{lastRefill: s.createdAt, tokens: 1e9}' ./coordination/ratelimit TestRestartsAndNewPoolsAddNoTokens
off bound-slots coordination/placement/share.go 'if r.unrestricted(regions) {' 'if false {' ./coordination/placement TestPinnedRequestsReduceKeptKeys
off quota-turns coordination/ratelimit/pool.go 's.reservedUntil = s.reservedUntil.Add(time.Duration(float64(time.Second) / params.rate))' '_ = params' ./coordination/ratelimit TestRefusedRequestsComeBackInTurn
off answer-time-is-not-held internal/gateway/sync.go 'reply.HeldMillis = uint32(held.Milliseconds())' 'reply.HeldMillis = uint32(time.Since(received).Milliseconds())' ./internal/gateway TestTimeToBuildAReply
off watcher-passed-over internal/gateway/watchers.go 'case age > g.maxParentAge(parent) &&' 'case false &&' ./internal/gateway TestWatcherWithoutStore
off watch-held-for-less internal/gateway/watch.go 'return min(max(g.cfg.WatchHold+maxSyncHold-age, minHold)' 'return min(max(g.cfg.WatchHold+maxSyncHold-0*age, minHold)' ./internal/gateway TestWatchIsHeldForLess
off start-is-told-first internal/daemon/greet.go 'for d.store.VMs().Version == 0 &&' 'if d.greeted.Store(true); ctx.Err() == nil {
		return
	}
	for d.store.VMs().Version == 0 &&' ./internal/fleet TestUpstreamsHaveOneOwner
off greeting-ends-the-pause transport/peer/stream.go 'm.resetBackoff(id.VM)' '' ./transport/peer TestPeerThatGreets
off answers-have-an-end internal/gateway/peers.go 's.SetWriteDeadline(time.Now().Add(replyTimeout(first)))' '_ = replyTimeout' ./internal/gateway TestPeersThatDoNotRead
off loads-told-once internal/gateway/loads.go 'after = mark.GetNumber()' '' ./internal/gateway TestLoadReportsAreSentOnce
off large-parts-bounded internal/gateway/largereplies.go 'if l.inFlight >= maxLargeReplies {' 'if false {' ./internal/gateway TestLargeParts
off doubt-leads-to-a-list internal/gateway/watch.go 'list || g.replica.Inconsistent(kind) ||' 'list ||' ./internal/gateway TestInconsistentKindIsListed
off replica-newer-than-list state/object/kind.go 'if e.Version.Revision <= d.UpTo.Revision {' 'if true {' ./state/object TestListWithNewerObjects
off listed-shows-what-is-missing state/object/kind.go 'k.inconsistent = true' '' ./state/object TestDeltas
off list-of-one-revision platform/list.go 'rest...), events), at, err' 'rest...), events[:0]), at, err' ./platform TestListOfPages
off list-in-ranges platform/list.go 'rangeBounds(first.names(), listRanges)' 'rangeBounds(first.names(), 1)' ./platform TestLongLists
off tree-depth internal/gateway/sync.go 'request.GetHoldMillis() > 0 && request.GetDepth() <= 1' 'request.GetHoldMillis() > 0' ./internal/gateway 'TestDeepTree$'
off turns-at-the-start internal/gateway/start.go 'min(time.Duration(rank)*listStagger, maxListDelay)' 'min(0*time.Duration(rank), maxListDelay)' ./internal/gateway TestAllVMsReturn
off packed-is-news internal/gateway/sync.go '|| len(d.GetPacked()) > 0' '' ./internal/gateway TestLargeDeltas
off ended-workers-told transport/ingress/evidence.go 'x.load.MarkAddressReused()' '' ./internal/gateway TestVMsShareThat
off keys-handed-over coordination/placement/handover.go 'rand.Float64() < max(' 'rand.Float64() < 1+max(' ./coordination/placement TestKeysAreHandedOver
off gate-of-all-kinds internal/gateway/storebackoff.go 'if b.failures == 0 {' 'if b.failures >= 0 {' ./internal/gateway TestCallsToAStore
off no-copies-for-a-region state/object/replica.go 'd.Listed, d.Listing = true, k.listing()
		d.Events = k.eventsAfter(at.Revision)' 'd.Full, d.Since = true, Version{}
		d.Events = k.eventsAfter(0)' ./internal/gateway TestRegionKeepsUp state/object/replica.go 'case k.historyCovers(at.Revision):' 'case false:'
off link-pacing coordination/link/link.go 'if limiter == nil {' 'if limiter != nil || limiter == nil {' ./internal/fleet TestLinkLimitHolds
off surplus-answer transport/upstream/exchange.go 'b.exchange.release(reuse && b.exchange.conn.reader.Buffered() == 0)' 'b.exchange.release(reuse)' ./transport/upstream TestSurplusResponse transport/upstream/conn.go 'return !c.unusable' 'return true'
off unknown-end transport/upstream/exchange.go 'if closeDelimited && !x.client' 'if false && !x.client' ./transport/upstream TestIncompleteResponses
off broken-is-broken transport/entry/entry.go 'panic(http.ErrAbortHandler)
	}
	h.writeFailure' 'return
	}
	h.writeFailure' ./internal/program TestSessions/broken
off attempt-table state/attempt/attempt.go 'if c, ok := s.records[ticket.nonce]; ok {' 'if c, ok := s.records[ticket.nonce]; ok && false {' ./state/attempt 'TestTicketRuns|TestConcurrentClaims'
off start-number state/attempt/attempt.go 'if ticket.start != t.cfg.Start {' 'if false {' ./internal/program TestSessions/once
off fresh-connection transport/upstream/client.go 'if req.AtMostOnce {' 'if false {' ./transport/upstream TestAtMostOnceOpens
off isolated-forwards transport/ingress/forward.go 'if !cfg.Reach.Isolated() {' 'if true {' ./internal/gateway 'TestIsolatedVMsServe'
off hang-ups-verified internal/gateway/quarantine.go 'q.hangUps[n].At.Before(verified)' '(true || verified.IsZero())' ./internal/gateway 'TestIsolatedVMsServe.*/some_by_reset'
off proxy-in-home coordination/reach/proxies.go '|| d.Allows != nil && !d.Allows(candidate.Region)' '' ./internal/gateway TestForwardedRequestsStay
off relapses-need-more coordination/reach/check.go 'm.needed = min(2*m.needed, maxRecoveryChecks)' '' ./coordination/reach TestRelapses
off forward-ends-with-client transport/forward/serve.go 'body := peer.NewRequestBody(s, cancel)' 'body := peer.NewRequestBody(s, func() {})' ./internal/gateway TestForwardedRequestEnds
off no-retry-after-send coordination/retry/retry.go 'case !a.NotRun && !a.Idempotent:' 'case false:' ./internal/program TestSessions/once
off used-ticket-at-the-door transport/relay/engine.go 'failure = e.consumeTicket(r, failure)' '' ./internal/program TestSessions/stop
off leaving-sticky coordination/capacity/worker.go 'w.leaving = w.leaving || r.Leaving ||' 'w.leaving = r.Leaving ||' ./coordination/capacity TestLeavingIsSticky
off leaving-told coordination/capacity/worker.go 'maybeLeaving := w.LeavingStart != 0 &&' 'maybeLeaving := false &&' ./coordination/capacity TestTakenOver
off stop-waits internal/daemon/stop.go 'for d.inFlight() > 0 {' 'for false {' ./internal/program TestSessions/stop
off never-reverts coordination/spread/spread.go 'known.Version >= o.Version' 'known.Version > o.Version+1<<40' ./coordination/spread TestNeverReverts
off peers-spread internal/daemon/spread.go 'if p.GetRevision() > revision ||' 'if p.GetRevision() > revision+1<<40 ||' ./internal/fleet TestConfigurationReaches
off read-back transport/platform/client.go 'if err == nil || !errors.Is(err, ErrUnresolved) {' 'if true {' ./internal/program TestSessions/platform
off plan-edit coordination/intent/apply.go 'if p.Edit != t.Edit {' 'if false {' ./internal/program TestSessions/race
off write-fence internal/daemon/traffic.go 'written, err := s.platform.Put(ctx, o, condition, operation)' '_ = condition
	written, err := s.platform.Put(ctx, o, platform.Always(), operation)' ./internal/program TestSessions/race
off lease coordination/controller/lease.go 'return l.Holder == "" || now.Sub(o.firstSeen) >= LeaseDuration' 'return l.Holder == ""' ./internal/program TestSessions/freeze
off refute coordination/membership/membership.go 't.self.Incarnation = m.Incarnation + 1' '' ./coordination/membership 'TestPartitionedHall|TestFrozen'
off controller-back coordination/controller/controller.go 'case free < headroom/2 && m.Share > 0 || s.Usable == 0:' 'case false:' ./coordination/controller TestRules
off controller-stale coordination/controller/controller.go 'if !ok || source.Age(f.Now) > intent.MaxStatusAge {' 'if !ok {' ./coordination/controller TestRules
off quarantine-found internal/gateway/quarantine.go 'if !g.quarantines.table.Merge(e) {' 'if true {' ./internal/gateway 'TestRequestThatEndsWorkers/plain'
off quarantine-told internal/gateway/quarantine.go 'go g.broadcastQuarantine([]quarantine.Entry{e}, nil)' '' ./internal/gateway TestQuarantinesReachAllVMs
off quarantine-kept internal/gateway/quarantinestore.go 'err := g.saveQuarantine(ctx, unsaved)' 'err := g.saveQuarantine(ctx, nil)' ./platform 'TestSessions/quarantine'
off quarantine-answered coordination/poison/poison.go 'ok && !s.found {
		delete' 'ok && !s.found && false {
		delete' ./coordination/poison TestDetector
off quarantine-explained coordination/poison/poison.go 'c.explained = true' '_ = c' ./coordination/poison TestDetector
off soak-poison internal/gateway/quarantine.go 'if !g.quarantines.table.Merge(e) {' 'if true {' ./platform 'TestSoak/seed_9002'
off lives-apart state/worker/worker.go 'return id + "@" + strconv.FormatUint(start, 36)' 'return id + strconv.FormatUint(start, 36)[:0]' ./internal/gateway TestEarlierIncarnationState
off older-life internal/gateway/compile.go 'if w.Start < previous.Start {' 'if false {' ./internal/gateway TestNewestIncarnation
off returned-cold coordination/placement/placement.go 'return service.ColdRate > 0 && load.MayBeCold(' 'return service.ColdRate < 0 && load.MayBeCold(' ./internal/gateway TestWorkersThatReturn
off entry-checked platform/worker.go 'if err := e.check(o.Name, time.Now()); err != nil {' 'if err := e.check(o.Name, time.Now()); err != nil && o.Name == "" {' ./platform TestEntriesOfOtherWriters
off entries-one-by-one platform/store.go 'if json.Unmarshal(item, &o) == nil && o.Metadata.Name != "" {' 'if err := json.Unmarshal(item, &o); err != nil {
			return err
		} else {' ./platform TestNeighboursOfFaulty
off leaving-heard transport/ingress/signals.go 'if cfg.Dialect.Leaving(header) {' 'if false && cfg.Dialect.Leaving(header) {' ./internal/gateway TestWorkerThatAnnouncesLeaving
off rests-heard transport/ingress/signals.go 'cfg.Dialect.Backoff(status, header); asked {' 'cfg.Dialect.Backoff(status, header); asked && false {' ./internal/gateway TestWorkersThatAskForRest
off own-words-only transport/ingress/attempt.go 'if failed.Kind() != upstream.KindWrongWorker {' 'if true {' ./transport/ingress TestLeavingSignal
off leaving-told-on internal/gateway/signals.go 'if leaving := signals.Leaving; !leaving' 'if leaving := signals.Leaving; false && !leaving' ./internal/gateway TestVMsShareLeavingSignals
off limit-permits internal/gateway/gateway.go 'Demand: g.balancer.meter, Permits: g.permits,' 'Demand: g.balancer.meter,' ./internal/gateway TestWorkersThatNameALimit
off limit-one-issuer internal/gateway/permits.go '!found || vm != p.gateway.cfg.VM {' '!found || vm == "" {' ./internal/gateway TestOnlyTheIssuerHandsOut
off limit-isolated coordination/ratelimit/issuer.go 'if 2*d.LiveVMs < d.ListedVMs {' 'if false {' ./coordination/ratelimit TestIssuersStayWithinTheLimit
off limit-told internal/gateway/signals.go 'message := limitMessage(now, signals.RateLimit)' 'message := &peerpb.WorkerSignals{}' ./platform 'TestSessions/limits'
off limit-tighter-first state/worker/ratelimit.go 'case previous.Finite() && r.PerSecond > previous.PerSecond && !r.earliestCreation().After(previous.ReceivedAt):' 'case false:' ./state/worker TestOutOfOrderRateLimits
off limit-success-ends transport/ingress/signals.go 'case limit.Finite() || status < http.StatusMultipleChoices:' 'default:' ./transport/ingress TestRateLimitSignal
off limit-spills-over coordination/placement/placement.go 'if refusal == RefusalLimited {' 'if false {' ./coordination/placement TestRateLimitsAreEnforced
off limit-urgent-first coordination/ratelimit/issuer.go 'reserve := priorityReserve * float64(' 'reserve := 0 * float64(' ./coordination/ratelimit TestIssuerServesUrgent
off soak-limit internal/gateway/gateway.go 'Demand: g.balancer.meter, Permits: g.permits,' 'Demand: g.balancer.meter,' ./platform 'TestSoak$/seed_21004'
off lapsed-tells-of-no-end coordination/placement/placement.go 'if !w.Confirmed.IsZero() {' 'if false {' ./internal/gateway TestLapsedEntryTells
off ends-heeded-at-once state/worker/exit.go 'return unconfirmed && (silent ||' 'return unconfirmed && silent && (silent ||' ./internal/gateway TestWorkerThatReturnsAs
off ended-told internal/gateway/signals.go 'exit := signals.Exit; (!exit.Own || exit.At.Before(verified)) && exit.Unconfirmed(' 'exit := signals.Exit; false && exit.Unconfirmed(' ./internal/gateway TestVMsShareSuspectedExits
off exit-until-start-shows state/worker/exit.go 'started.Add(startPropagation))' 'started)' ./state/worker TestColdAfterClosedPort
off exit-known-by-peers state/worker/signal.go 'case l.uncertain && l.exitedAt' 'case false && l.exitedAt' ./state/worker TestPeerConfirms
off exit-stays-certain state/worker/exit.go 'first && !l.certainExitInForce()' 'first' ./state/worker TestLostResponseAfterExit
off exit-probed transport/ingress/evidence.go 'go h.probeForExit(x)' '' ./internal/gateway TestOneBrokenConnection
off confirmed-as-compiled internal/gateway/gateway.go 'g.replica.ConfirmedAtMark(cfg.Codec.WorkerKind(), s.WorkersMark)' 'g.replica.ConfirmedAt(cfg.Codec.WorkerKind())' ./internal/gateway TestConfirmationAppliesWith
off keys-as-compiled internal/gateway/keys.go 'inUse = s.RoutesMark' 'inUse, _ = g.replica.Mark(g.cfg.Codec.ConfigKind()), s' ./internal/gateway TestKeysOfConfiguration
off served-does-not-watch internal/gateway/watchers.go '&& clock.Since(w.parentReply) >= parentReplyValidity' '' ./internal/gateway TestVMServedByItsParent
off word-outlives-entry state/worker/signal.go 'now.Sub(s.leaving.ObservedAt) < leavingRetention)' 'false)' ./state/worker TestLeavingOutlives
off earliest-word-binds state/worker/signal.go 'first || s.Until.Before(l.signals.leaving.Until)' 'true' ./state/worker TestEarliestLeaving
off rest-to-its-end state/worker/signal.go 'end.After(s.restEnd) {' 'true || end.After(s.restEnd) {' ./state/worker TestRestIsNotShortened
off return-ramp state/worker/signal.go 's.allowance = 1' 's.allowance = 0' ./state/worker TestRampAfterRest
off cold-from-return state/worker/exit.go 'if l.respondedAt.After(started) {' 'if false {' ./state/worker TestColdAfterClosedPort
off ends-outlived state/worker/exit.go 'if l.exitedAt.IsZero() || !s.contains(l.exitedAt) {' 'if true {' ./state/worker TestOutlivedExit
off rest-moves-few coordination/placement/search.go 'if r.displaced {' 'if false && r.displaced {' ./internal/experiment TestRestsKept
off rest-keeps-regions coordination/placement/placement.go 'p.chooseDestination(s, r, workers.availableOrResting())' 'p.chooseDestination(s, r, workers.available)' ./coordination/placement TestRestMovesOnly
off clock-sleeps internal/clock/clock.go 's.slept = slept' '' ./internal/clock TestSuspensionsCount
off rollout-share coordination/rollout/splitter.go 's.sent+1 <= shareMargin*s.cfg.MaxFraction*s.requests+s.start' 's.sent+1 <= shareMargin*s.requests+s.start' ./coordination/rollout 'TestSplitterStaysWithinShare|TestBadVersions'
off rollout-term coordination/rollout/splitter.go '!s.cfg.Now().Before(s.expires):' 'false:' ./coordination/rollout TestSplitterStaysWithinShare
off rollout-judge coordination/rollout/decider.go 'if bad && d.Phase() < rollout.PhaseProved {' 'if bad && false {' ./coordination/rollout TestBadVersionsAreRolledBack
off rollout-ordered-only internal/gateway/rollouts.go 'case w.Version == o.version && o.phase != rollout.PhaseRolledBack:' 'case o.phase != rollout.PhaseRolledBack:' ./internal/gateway TestVersionsInUse
off rollout-waits-for-all coordination/rollout/decider.go 'case proved < in.VMs:' 'case false:' ./coordination/rollout TestVMsThatAreNotReached
off rollout-closes coordination/rollout/splitter.go 's.phase == rollout.PhaseProved && !s.step.Closed' 's.phase == rollout.PhaseProved' ./coordination/rollout TestOldWorkersServe
off list-read-once internal/gateway/watch.go 'if !known || content == c.memberList {' 'if !known {' ./internal/gateway TestListOfVMsIsRead
off gap-passed-on state/object/replica.go 'd.Events, d.Gapped = k.historyAfter(at.Revision), k.hasGapAfter(at.Revision)' 'd.Events = k.historyAfter(at.Revision)' ./state/object TestGapIsPassedOn
off era-is-read platform/store.go 'if len(values) == 0 {' 'if len(values) >= 0 {' ./platform 'TestSoak$/seed_31020'
off era-not-continued state/object/kind.go 'case k.initialized && d.UpTo.Era != k.version.Era:' 'case false:' ./state/object TestReplicasConvergeAcrossEras
off era-confirmed state/object/replica.go '!k.initialized || version.Era != k.version.Era || k.version.Before(version)' '!k.initialized' ./state/object TestConfirmationNeeds
off era-nothing-goes-back state/object/kind.go 'k.carryOver(before, deleted, now)' '_, _ = before, deleted' ./internal/gateway TestNothingGoesBack
off era-ends state/object/carry.go 'return !c.until.IsZero() && !now.Before(c.until)' 'return false' ./internal/gateway TestWorkerThatIsNotWrittenAgain
off start-refuses internal/gateway/opening.go 'timer := time.NewTimer(maxRefusing)' 'timer := time.NewTimer(0)' ./internal/gateway TestStartingVMTakesUpNoClients
off start-not-named internal/gateway/isolation.go ' && m.Path != membership.PathStarting {' ' {' ./internal/gateway TestStartingVMIsNotInDirectories
off start-together-holds internal/gateway/opening.go 'needed: min(len(distinct), idlePeers)' 'needed: 1 << 10' ./internal/gateway TestVMsThatStartTogetherHoldClients
off era-start-waits internal/gateway/compile.go '!g.startup.over(now, g.knowledge.storeEra())' 'false' ./internal/gateway TestVMThatStartsAfter
off era-current-list internal/gateway/watch.go 'wait == listInterval && g.staleListsUsable(kind)' 'wait == listInterval' ./internal/gateway TestStaleListsAfter internal/gateway/watch.go 'if stale && g.behindEra(kind) {' 'if false {'
off era-intents-merged internal/gateway/traffic.go 'state = mergeTraffic(known, state)' '_ = known' ./internal/gateway TestConfirmedIntentsAfter
off era-restores internal/gateway/restore.go 'if !g.hasCarried() || !g.isController() {' 'if true {' ./internal/gateway 'TestConfirmedIntentsAfter|TestQuarantineAfter'
off era-own-entry internal/gateway/restore.go 'g.restoreMember(ctx)' '' ./internal/gateway TestVMEntriesAfter
off leaving-of-next-process internal/gateway/compile.go 'g.loads.TransferLeaving(previous, &w)' 'false' ./internal/gateway TestLeavingSignalBefore
off exit-after-response state/worker/exit.go 'return l.respondedAt.After(last) &&' 'return false && l.respondedAt.After(last) &&' ./state/worker TestSecondExit
off given-up-is-reset transport/upstream/conn.go '_ = tcp.SetLinger(0)' '_ = tcp' ./transport/upstream TestCancelResetsConnection
off rank-reserves coordination/admission/admission.go 'return min(higher/(s.demand+evidence), maxReserved)' 'return 0 * higher / (s.demand + evidence)' ./coordination/admission TestRoomIsReserved
off rank-not-starved coordination/admission/admission.go 'if s.requests[r.level()] != 0 {' 'if true {' ./coordination/admission TestNoRankIsStarved
off rank-in-time coordination/admission/reservation.go 'if r.runTime > 0 && r.timeLeft > 0 {' 'if false {' ./coordination/admission TestRoomIsOnlyForAnswersInTime
off rank-equal-unchanged coordination/admission/admission.go 'func (r Request) Ranked() bool { return r.Ranks > 1 }' 'func (r Request) Ranked() bool { return r.Ranks >= 0 }' ./coordination/placement TestEqualRanksAreServed
off rank-decides coordination/placement/search.go 's.request.reservation.Limit(seen.Slots, seen.Unreserved)' 'seen.Unreserved' ./coordination/placement TestRoomGoesByRank
off rank-of-workspace state/route/rank.go 'rank{workspace: w.Priority(), route: r.Priority}' 'rank{workspace: r.Priority, route: r.Priority}' ./transport/ingress TestRoomGoesByRankOfWorkspace
off accept-goes-on transport/peer/stream.go 'case m.ctx.Err() == nil && isTemporary(err):' 'case false && isTemporary(err):' ./transport/peer TestAcceptContinues
off own-exhaustion transport/upstream/descriptors.go 'if errors.Is(err, code) {' 'if false && errors.Is(err, code) {' ./transport/upstream TestDialWithoutDescriptors
off workers-connections transport/upstream/descriptors.go 'for c.cfg.MaxOpen > 0 &&' 'for false &&' ./transport/upstream TestOpenConnectionsOfAllWorkers
off clients-connections transport/pipeline/capacity.go 'if s.cfg.MaxConnections <= 0 ||' 'if true ||' ./transport/pipeline TestConnectionsAreBounded
off soak-rollout coordination/rollout/decider.go 'if bad && d.Phase() < rollout.PhaseProved {' 'if bad && false {' ./platform TestSoakBadOrdersAlone/rollout-fails
off peers-shut-down internal/gateway/stop.go 'g.peers.Shutdown(ctx)' '' ./internal/gateway TestRequestsUnreadByStoppingProxy
off peers-shutdown-waits transport/peer/shutdown.go 'if !dismissed || mux.NumStreams() > 0 {' 'if false && (!dismissed || mux.NumStreams() > 0) {' ./transport/forward TestStoppingProxyRefuses
off rejected-has-not-run transport/relay/remote.go 'if errors.Is(err, peer.ErrRejected) &&' 'if false && errors.Is(err, peer.ErrRejected) &&' ./transport/relay TestRequestOnRejectedStream
off end-is-told transport/ingress/stop.go 'if p := h.period.Load(); p != nil {' 'if p := h.period.Load(); false && p != nil {' ./transport/ingress TestStoppingVMTellsItsEnd
off lookups-answered internal/gateway/stop.go 'g.shutdownLookups(ctx)
	g.fireEvent' 'g.fireEvent' ./internal/gateway TestStopAnswersLookupsUnderWay
off cold-while-silent internal/gateway/cold.go '!confirmed.IsZero() && now.Sub(confirmed) > worker.StoreSilentAfter' 'now.Sub(confirmed) < 0' ./internal/gateway TestWorkerTurnsColdWhileStoreIsSilent
off proxy-sees-exits transport/ingress/forward.go 'reconnected: res.Reconnected()' 'reconnected: false' ./internal/gateway TestProxyNoticesThatWorkerHasStartedAgain
off unread-close transport/upstream/conn.go 'return !c.unusable && !socket.IsReadable(c.raw)' 'return !c.unusable' ./transport/upstream TestJustClosedIdleConnection
off reset-truncates transport/upstream/exchange.go 'if isConnectionFailure(err) && !errors.Is(err, syscall.EPIPE) {' 'if false && isConnectionFailure(err) && !errors.Is(err, syscall.EPIPE) {' ./transport/upstream TestResetDuringUpload
off error-is-kept transport/upstream/bounded.go 'r.failed = err' '' ./transport/upstream TestErrorBeforeHeaderIsKept
off valid-status protocol/httpcheck/httpcheck.go 'if status < http.StatusOK || status > maxStatus {' 'if false {' ./transport/upstream TestInvalidStatus
off valid-fields protocol/httpcheck/httpcheck.go 'if !ValidName(name) {' 'if false {' ./transport/upstream TestInvalidField
off encoded-http10 transport/upstream/head.go 'if encoded {' 'if false && encoded {' ./transport/upstream TestInvalidField
off late-in-stop transport/ingress/ingress.go 'if q.handler.stopsBefore(q.deadline) {' 'if false {' ./transport/ingress TestLateRequestMustEnd
off deep-object platform/depth.go 'flat := flatten(raw, maxAnswerDepth)' 'flat := raw' ./platform TestDeepObject
off store-memory platform/answer.go 'smallAnswerBytes = 1 << 20' 'smallAnswerBytes = 8 << 20' ./platform TestEndlessAnswersOfStore
exit $missed
