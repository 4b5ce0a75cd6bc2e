"""Slot scheduler of one availability zone."""

import collections
import dataclasses
import enum
import math

from galenarill.common import (
    AttemptId,
    AvailabilityZoneId,
    PermitId,
    PoolId,
    TeamId,
    VmId,
)
from galenarill.scheduling import messages
from galenarill.scheduling.evacuation import EvacuationGate
from galenarill.scheduling.permits import (
    SESSION_MARGIN_SECONDS,
    SESSION_SECONDS,
)
from galenarill.scheduling.policy import SchedulingPolicy
from galenarill.scheduling.quarantine import OutlierDetector
from galenarill.scheduling.servers import (
    RENEWALS_PER_LEASE,
    BackendServer,
    Orphan,
    permit_of,
    renewal_interval,
    team_of,
)
from galenarill.scheduling.shares import ShareAccount

__all__ = ["ZoneScheduler", "Decision", "DecisionKind", "LOSS_TIMEOUT_SECONDS"]

# Time after the end of a backend server's lease at which it counts as lost.
LOSS_TIMEOUT_SECONDS = 8.0
# Time for which a closed permit is remembered, so that its attempts aren't
# counted as running because of a report made before it was closed.
TOMBSTONE_SECONDS = 10.0


class DecisionKind(enum.Enum):
    """Kind of a scheduling decision."""

    GRANT = "grant"
    ORPHAN = "orphan"
    ORPHAN_ENDED = "orphan-ended"
    QUARANTINE = "quarantine"
    RESTART = "restart"
    DEPART = "depart"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A scheduling decision, for the log.

    Attributes:
        kind: Kind of the decision.
        server: Backend server that it concerns.
        team: Team, or "" if it concerns none.
        permit: Permit, or "" if it concerns none.
        reason: Reason for the decision.
    """

    kind: DecisionKind
    server: VmId
    team: TeamId | str
    permit: PermitId | str
    reason: str


@dataclasses.dataclass(slots=True)
class _Grant:
    holder: VmId
    server: VmId
    team: TeamId
    pool: PoolId
    granted_at: float


@dataclasses.dataclass(slots=True)
class _HolderSession:
    session_deadline: float
    waiting: dict[tuple[PoolId, TeamId], int] = dataclasses.field(
        default_factory=dict
    )
    granted_counts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    permits: set[PermitId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class _Pool:
    account: ShareAccount = dataclasses.field(default_factory=ShareAccount)
    outlier_detector: OutlierDetector = dataclasses.field(
        default_factory=OutlierDetector
    )
    servers: dict[VmId, BackendServer] = dataclasses.field(default_factory=dict)
    # Number of waiting requests by team and holder. The first holder gets the
    # next permit of the team.
    waiting: dict[TeamId, collections.OrderedDict[VmId, int]] = (
        dataclasses.field(default_factory=dict)
    )
    is_contended: bool = False


class ZoneScheduler:
    """Grants permits for the slots of one zone's backend servers.

    A permit counts against its backend server's slots and its team's allotment
    from when it is granted until the holder returns it. If the holder's session
    ends first, the permit becomes an orphan and counts until the backend
    server's reports prove that none of its attempts is running. Slots and
    allotments are thus not exceeded when holders, links or schedulers fail.

    The scheduler has no clock and does no I/O. The caller passes in messages
    and collects outgoing messages and decisions. A grant takes time linear in
    the number of teams waiting for the pool and backend servers of the pool.
    """

    def __init__(
        self,
        availability_zone: AvailabilityZoneId,
        epoch: str,
        members: frozenset[VmId],
        policy: SchedulingPolicy,
        now: float,
    ):
        """Initialize a scheduler that has just acquired the zone's lease.

        Args:
            availability_zone: Zone of the backend servers.
            epoch: Epoch that no earlier scheduler of the zone has used.
            members: All entry VMs that may hold permits.
            policy: Allotments, shares and pool membership.
            now: Monotonic time in seconds.
        """
        self._availability_zone = availability_zone
        self._epoch = epoch
        self._policy = policy
        self._gate = EvacuationGate(availability_zone, epoch, policy)
        self._unregistered_holders = set(members)
        # Time at which all sessions with earlier schedulers have expired, so
        # that holders can start attempts only after registering here.
        self._fenced_at = now + SESSION_SECONDS + SESSION_MARGIN_SECONDS
        self._ready_at = math.inf
        self._holders: dict[VmId, _HolderSession] = {}
        self._servers: dict[VmId, BackendServer] = {}
        self._pools: dict[PoolId, _Pool] = collections.defaultdict(_Pool)
        self._permits: dict[PermitId, _Grant] = {}
        self._slots_in_use: collections.Counter[TeamId] = collections.Counter()
        self._blocked_teams: set[TeamId] = set()
        self._tombstones: collections.OrderedDict[PermitId, float] = (
            collections.OrderedDict()
        )
        self._next_permit = 0
        self._dirty_pools: set[PoolId] = set()
        self._outbox: dict[VmId, list] = collections.defaultdict(list)
        self._decisions: list[Decision] = []

    @property
    def epoch(self) -> str:
        """Epoch of this scheduler."""
        return self._epoch

    @property
    def servers(self) -> dict[VmId, BackendServer]:
        """Known backend servers by VM."""
        return self._servers

    @property
    def has_work(self) -> bool:
        """Whether a pool has changed since the last call of `allocate`."""
        return bool(self._dirty_pools)

    def running(self, team: TeamId) -> int:
        """Return the number of slots that `team` uses or may be using."""
        return self._slots_in_use[team]

    def is_lost(self, vm: VmId, now: float) -> bool:
        """Return whether the backend server on `vm` counts as lost.

        A backend server that never reported to this scheduler counts as lost
        `LOSS_TIMEOUT_SECONDS` after the scheduler was ready.
        """
        server = self._servers.get(vm)
        if server is None:
            return (
                self.is_ready(now)
                and now >= self._ready_at + LOSS_TIMEOUT_SECONDS
            )
        return now >= server.lease_deadline + LOSS_TIMEOUT_SECONDS

    def is_drained(self, vm: VmId, now: float) -> bool:
        """Return whether `vm` has no permits out and runs no attempt.

        Orphans on a lost server are ignored: a reboot ends them, and no caller
        waits for their responses.
        """
        server = self._servers.get(vm)
        if server is None:
            return self.is_lost(vm, now)
        if server.permits:
            return False
        if self.is_lost(vm, now):
            return True
        return server.is_in_sync and not server.orphans

    def register(
        self, holder: VmId, message: messages.Register, now: float
    ) -> None:
        """Open or renew the session of `holder`."""
        known = self._holders.get(holder)
        dropped: tuple[PermitId, ...] = ()
        if message.epoch != self._epoch:
            dropped = self._open_session(holder, message, now)
            if self._gate.is_closed:
                # Precedes the reply, with which the holder may use permits
                # that it got before the evacuation.
                self._send(holder, self._gate.recall())
        elif known is None:
            # The session has expired: the holder has to open a new one, which
            # reports its permits.
            self._send(
                holder,
                messages.RegisterReply(
                    self._availability_zone, "", message.sequence
                ),
            )
            return
        session = self._holders[holder]
        session.session_deadline = (
            now + SESSION_SECONDS + SESSION_MARGIN_SECONDS
        )
        self._send(
            holder,
            messages.RegisterReply(
                self._availability_zone,
                self._epoch,
                message.sequence,
                dropped,
            ),
        )

    def demand(
        self, holder: VmId, message: messages.Demand, now: float
    ) -> None:
        """Update the number of waiting requests at `holder`."""
        session = self._holders.get(holder)
        if session is None or message.epoch != self._epoch:
            return
        for line in message.lines:
            pair = (line.pool, line.team)
            in_flight = session.granted_counts[pair] - line.seen
            waiting = max(0, line.waiting - in_flight)
            self._set_waiting(holder, session, pair, waiting)
            self._dirty_pools.add(line.pool)

    def returned(
        self, holder: VmId, message: messages.Returned, now: float
    ) -> None:
        """Process the permits that `holder` returns."""
        if message.epoch != self._epoch:
            return
        for returned_permit in message.permits:
            grant = self._permits.get(returned_permit.permit_id)
            if grant is None or grant.holder != holder:
                continue
            self._record_outcomes(grant, returned_permit, now)
            if returned_permit.running:
                self._orphan_permit(
                    returned_permit.permit_id, now, "holder gave up the attempt"
                )
            else:
                self._release_permit(returned_permit.permit_id, now)

    def report(
        self, message: messages.ServerReport, now: float
    ) -> messages.ServerReportReply:
        """Process a backend server's report.

        Args:
            message: The report.
            now: Monotonic time in seconds.

        Returns:
            The reply: whether the backend server is eligible for work, and
            which attempts it should cancel.
        """
        refusal = self._policy.ineligibility_reason(
            message.server, message.pool
        )
        server = self._servers.get(message.server)
        if server is None:
            server = self._new_server(message, now)
        elif server.incarnation != message.incarnation:
            self._handle_restart(server, message.incarnation)
        elif message.sequence <= server.sequence:
            return self._report_reply(message, "", (), now)
        self._move_pool(server, message.pool)
        if message.leaving and not server.is_leaving:
            self._mark_leaving(server, "announced its departure")
        interval = renewal_interval(len(self._servers))
        server.update(message, now + RENEWALS_PER_LEASE * interval)
        reported_after = self._stamp_time(message.seen)
        if self.is_ready(now) and reported_after >= self._ready_at:
            server.is_in_sync = True
        self._reconcile_attempts(server, message.running, reported_after, now)
        self._dirty_pools.add(server.pool)
        stop = [a for a in message.running if permit_of(a) in server.orphans]
        return self._report_reply(message, refusal, tuple(stop), now)

    def policy_changed(self, now: float) -> None:
        """Apply changes of allotments, shares, membership and evacuation."""
        self._recall_if_evacuated()
        for team in [t for t, n in self._slots_in_use.items() if n]:
            if self._slots_in_use[team] > self._policy.allotment(team):
                self._recall_permits(team=team, hard=True)
        for server in self._servers.values():
            if self._policy.ineligibility_reason(server.vm, server.pool):
                self._mark_leaving(server, "may no longer serve its pool")
        self._remove_decommissioned_servers(now)
        for pool in self._pools.values():
            for team in pool.waiting:
                pool.account.set_weight(team, self._policy.weight(team))
        self._dirty_pools.update(self._pools)

    def blocked_demand(self, now: float) -> dict[TeamId, int]:
        """Return the number of free slots each team lacks allotment for.

        Only teams that have reached their allotment and could use free slots
        are included.
        """
        if self._gate.is_closed:
            return {}
        demand: collections.Counter[TeamId] = collections.Counter()
        for pool in self._pools.values():
            free = sum(
                server.free
                for server in pool.servers.values()
                if not self._exclusion_reason(pool, server, now)
            )
            for team, by_holder in pool.waiting.items():
                if self._slots_in_use[team] >= self._policy.allotment(team):
                    demand[team] += min(free, sum(by_holder.values()))
        return {team: count for team, count in demand.items() if count > 0}

    def spare_allotment(self, team: TeamId) -> int:
        """Return the part of its allotment that `team` does not use.

        Waiting requests are not subtracted: if a team below its allotment has
        waiting requests, it lacks free slots rather than allotment.
        """
        return max(0, self._policy.allotment(team) - self._slots_in_use[team])

    def tick(self, now: float) -> None:
        """End expired sessions and leases, and discard old tombstones."""
        # The state may have changed without a call of `policy_changed`, which
        # isn't made while the lease is in doubt.
        self._recall_if_evacuated()
        for vm, session in list(self._holders.items()):
            if session.session_deadline <= now:
                self._end_session(vm, session, now)
        for server in self._servers.values():
            if server.lease_deadline <= now and not server.is_leaving:
                self._mark_leaving(server, "did not renew its lease")
        self._remove_decommissioned_servers(now)
        while self._tombstones:
            permit_id, closed_at = next(iter(self._tombstones.items()))
            if closed_at + TOMBSTONE_SECONDS > now:
                break
            del self._tombstones[permit_id]
        self._dirty_pools.update(
            pool_id for pool_id, pool in self._pools.items() if pool.waiting
        )

    def allocate(self, now: float) -> None:
        """Grant the free slots of every pool that has changed."""
        self._recall_if_evacuated()
        if not self.is_ready(now):
            return
        dirty, self._dirty_pools = self._dirty_pools, set()
        for pool_id in dirty:
            self._allocate_pool(pool_id, self._pools[pool_id], now)

    def take_messages(self) -> dict[VmId, list]:
        """Return the messages to each holder since the last call."""
        outbox, self._outbox = self._outbox, collections.defaultdict(list)
        return outbox

    def take_decisions(self) -> list[Decision]:
        """Return the decisions made since the last call."""
        decisions, self._decisions = self._decisions, []
        return decisions

    def is_ready(self, now: float) -> bool:
        """Return whether only registered holders can start attempts.

        This holds once every member has registered or all sessions with
        earlier schedulers have expired. No permit is granted before.
        """
        if not self._unregistered_holders or now >= self._fenced_at:
            self._ready_at = min(self._ready_at, now)
            return True
        return False

    def _send(self, holder: VmId, message) -> None:
        self._outbox[holder].append(message)

    def _record_decision(
        self,
        kind: DecisionKind,
        server: VmId,
        reason: str,
        team: TeamId | str = "",
        permit: PermitId | str = "",
    ) -> None:
        self._decisions.append(Decision(kind, server, team, permit, reason))

    def _open_session(
        self, holder: VmId, message: messages.Register, now: float
    ) -> tuple[PermitId, ...]:
        """Open a session for `holder` and adopt the permits it reports.

        Returns:
            The reported permits that the holder must not use.
        """
        session = self._holders.get(holder)
        if session is not None:
            self._clear_waiting(holder, session)
            reported = {held.permit_id for held in message.held}
            for permit_id in list(session.permits - reported):
                self._orphan_permit(permit_id, now, "holder no longer has it")
        self._holders[holder] = session = _HolderSession(0.0)
        if not message.fresh:
            self._unregistered_holders.discard(holder)
        dropped = []
        for held in message.held:
            if self._adopt_permit(holder, session, held, now):
                # Repeat the recall, as the new session has not received it.
                self._pools[held.pool].is_contended = False
            else:
                dropped.append(held.permit_id)
        return tuple(dropped)

    def _adopt_permit(
        self,
        holder: VmId,
        session: _HolderSession,
        held: messages.HeldPermit,
        now: float,
    ) -> bool:
        permit_id = held.permit_id
        if permit_id in self._permits:
            session.permits.add(permit_id)
            return True
        if permit_id in self._tombstones:
            return False
        server = self._servers.get(held.server)
        if server is None:
            server = BackendServer(
                held.server, held.pool, "", held.incarnation, 0, 0, 0.0
            )
            self._servers[held.server] = server
            self._pools[held.pool].servers[held.server] = server
        if permit_id in server.orphans:
            self._drop_orphan(server, permit_id)
        grant = _Grant(holder, held.server, held.team, held.pool, now)
        self._add_grant(permit_id, grant)
        session.permits.add(permit_id)
        return True

    def _new_server(
        self, message: messages.ServerReport, now: float
    ) -> BackendServer:
        server = BackendServer(
            message.server,
            message.pool,
            message.address,
            message.incarnation,
            message.sequence,
            0,
            now,
        )
        self._servers[message.server] = server
        self._pools[message.pool].servers[message.server] = server
        return server

    def _move_pool(self, server: BackendServer, pool: PoolId) -> None:
        if server.pool == pool:
            return
        self._pools[server.pool].servers.pop(server.vm, None)
        self._pools[pool].servers[server.vm] = server

    def _handle_restart(self, server: BackendServer, incarnation: str) -> None:
        """Recall the permits of an earlier incarnation of `server`.

        They are counted until they are returned, because a holder may still
        start a request on them, which would reach the new incarnation.
        """
        self._record_decision(
            DecisionKind.RESTART, server.vm, f"{server.used} permits out"
        )
        server.incarnation = incarnation
        server.sequence = 0
        self._pools[server.pool].outlier_detector.remove(server.vm)
        self._recall_server(server)

    def _mark_leaving(self, server: BackendServer, reason: str) -> None:
        if server.permits or not server.is_leaving:
            self._record_decision(DecisionKind.DEPART, server.vm, reason)
        server.is_leaving = True
        self._recall_server(server)

    def _recall_server(self, server: BackendServer) -> None:
        holders = {self._permits[p].holder for p in server.permits}
        for holder in holders:
            self._send(
                holder,
                messages.Recall(
                    self._availability_zone,
                    self._epoch,
                    server=server.vm,
                    hard=True,
                ),
            )

    def _report_reply(
        self,
        message: messages.ServerReport,
        refusal: str,
        stop: tuple[AttemptId, ...],
        now: float,
    ) -> messages.ServerReportReply:
        stamp = f"{self._epoch}@{now:.6f}"
        return messages.ServerReportReply(
            message.call,
            not refusal,
            stamp,
            renewal_interval(len(self._servers)),
            refusal,
            stop,
        )

    def _stamp_time(self, stamp: str) -> float:
        """Return when `stamp` was issued, or -inf if by another scheduler."""
        epoch, _, at = stamp.rpartition("@")
        return float(at) if epoch == self._epoch else -math.inf

    def _reconcile_attempts(
        self,
        server: BackendServer,
        running: tuple[AttemptId, ...],
        reported_after: float,
        now: float,
    ) -> None:
        """Reconcile the orphans of `server` with the attempts it reports.

        Unknown attempts become orphans. An orphan ends if it is missing from a
        report made after its last holder was fenced.
        """
        reported = {permit_of(attempt): attempt for attempt in running}
        for permit_id, attempt in reported.items():
            known = (
                permit_id in self._permits
                or permit_id in server.orphans
                or permit_id in self._tombstones
            )
            if not known:
                fenced_at = max(now, self._fenced_at)
                orphan = Orphan(team_of(attempt), server.pool, fenced_at)
                self._add_orphan(server, permit_id, orphan, "unknown attempt")
        for permit_id, orphan in list(server.orphans.items()):
            if permit_id not in reported and reported_after >= orphan.fenced_at:
                self._end_orphan(server, permit_id, now, "not running")

    def _add_grant(self, permit_id: PermitId, grant: _Grant) -> None:
        self._permits[permit_id] = grant
        self._servers[grant.server].permits.add(permit_id)
        self._slots_in_use[grant.team] += 1
        account = self._pools[grant.pool].account
        account.set_weight(grant.team, self._policy.weight(grant.team))
        account.start(grant.team, grant.granted_at)

    def _release_permit(self, permit_id: PermitId, now: float) -> None:
        """Close a permit that has no running attempt."""
        grant = self._remove_grant(permit_id, now)
        self._slots_in_use[grant.team] -= 1
        self._close_permit(permit_id, grant.team, grant.pool, now)

    def _remove_grant(self, permit_id: PermitId, now: float) -> _Grant:
        grant = self._permits.pop(permit_id)
        self._servers[grant.server].permits.discard(permit_id)
        session = self._holders.get(grant.holder)
        if session is not None:
            session.permits.discard(permit_id)
        self._pools[grant.pool].account.finish(
            grant.team, grant.granted_at, now
        )
        return grant

    def _close_permit(
        self, permit_id: PermitId, team: TeamId, pool: PoolId, now: float
    ) -> None:
        self._tombstones[permit_id] = now
        self._dirty_pools.add(pool)
        if team in self._blocked_teams:
            self._dirty_pools.update(
                pool_id
                for pool_id, known in self._pools.items()
                if team in known.waiting
            )

    def _orphan_permit(
        self, permit_id: PermitId, now: float, reason: str
    ) -> None:
        """Turn a permit that has lost its holder into an orphan."""
        grant = self._remove_grant(permit_id, now)
        self._slots_in_use[grant.team] -= 1
        server = self._servers[grant.server]
        orphan = Orphan(grant.team, grant.pool, now + SESSION_MARGIN_SECONDS)
        self._add_orphan(server, permit_id, orphan, reason)

    def _remove_decommissioned_servers(self, now: float) -> None:
        """Remove the servers whose VMs are permanently stopped."""
        for vm in [
            vm for vm in self._servers if self._policy.is_decommissioned(vm)
        ]:
            server = self._servers[vm]
            for permit_id, orphan in list(server.orphans.items()):
                if orphan.fenced_at <= now:
                    self._end_orphan(server, permit_id, now, "VM removed")
            if not server.used:
                del self._servers[vm]
                pool = self._pools[server.pool]
                pool.servers.pop(vm, None)
                pool.outlier_detector.remove(vm)

    def _add_orphan(
        self,
        server: BackendServer,
        permit_id: PermitId,
        orphan: Orphan,
        reason: str,
    ) -> None:
        server.orphans[permit_id] = orphan
        self._slots_in_use[orphan.team] += 1
        self._record_decision(
            DecisionKind.ORPHAN, server.vm, reason, orphan.team, permit_id
        )

    def _drop_orphan(self, server: BackendServer, permit_id: PermitId) -> None:
        orphan = server.orphans.pop(permit_id)
        self._slots_in_use[orphan.team] -= 1

    def _end_orphan(
        self,
        server: BackendServer,
        permit_id: PermitId,
        now: float,
        reason: str,
    ) -> None:
        orphan = server.orphans[permit_id]
        self._drop_orphan(server, permit_id)
        self._close_permit(permit_id, orphan.team, orphan.pool, now)
        self._record_decision(
            DecisionKind.ORPHAN_ENDED, server.vm, reason, orphan.team, permit_id
        )

    def _end_session(
        self, vm: VmId, session: _HolderSession, now: float
    ) -> None:
        self._clear_waiting(vm, session)
        for permit_id in list(session.permits):
            self._orphan_permit(permit_id, now, f"session of {vm} ended")
        del self._holders[vm]

    def _set_waiting(
        self,
        holder: VmId,
        session: _HolderSession,
        pair: tuple[PoolId, TeamId],
        waiting: int,
    ) -> None:
        pool_id, team = pair
        pool = self._pools[pool_id]
        if waiting:
            session.waiting[pair] = waiting
            if team not in pool.waiting:
                pool.waiting[team] = collections.OrderedDict()
                pool.account.set_weight(team, self._policy.weight(team))
            pool.waiting[team][holder] = waiting
            return
        session.waiting.pop(pair, None)
        by_holder = pool.waiting.get(team)
        if by_holder is None:
            return
        by_holder.pop(holder, None)
        if not by_holder:
            del pool.waiting[team]
            if not any(team in p.waiting for p in self._pools.values()):
                self._blocked_teams.discard(team)

    def _clear_waiting(self, holder: VmId, session: _HolderSession) -> None:
        for pair in list(session.waiting):
            self._set_waiting(holder, session, pair, 0)

    def _allocate_pool(self, pool_id: PoolId, pool: _Pool, now: float) -> None:
        granted: dict[VmId, list[messages.Permit]] = collections.defaultdict(
            list
        )
        slots = sum(server.slots for server in pool.servers.values())
        is_full = False
        while eligible := self._eligible_teams(pool):
            server, reason = self._choose_server(pool, now)
            if server is None:
                is_full = True
                break
            team = pool.account.next_team(eligible, now, slots)
            holder = self._choose_holder(pool, team)
            permit = self._grant(holder, server, team, pool_id, reason, now)
            granted[holder].append(permit)
        for holder, permits in granted.items():
            self._send(
                holder,
                messages.Granted(
                    self._availability_zone, self._epoch, tuple(permits)
                ),
            )
        # Recalls are sent after the grants, so that they apply to these too.
        self._recall_for_blocked(pool, eligible)
        if is_full:
            self._recall_for_pool(pool_id, pool)
        elif not pool.waiting:
            pool.is_contended = False

    def _eligible_teams(self, pool: _Pool) -> list[TeamId]:
        """Return the teams with waiting requests below their allotment."""
        return [
            team
            for team in pool.waiting
            if self._slots_in_use[team] < self._policy.allotment(team)
        ]

    def _choose_server(
        self, pool: _Pool, now: float
    ) -> tuple[BackendServer | None, str]:
        """Return the backend server with the most free slots, and the reason.

        Returns:
            The backend server, or None if none is eligible, and the reason for
            the choice.
        """
        if self._gate.is_closed:
            return None, ""
        best = None
        excluded = collections.Counter()
        for server in pool.servers.values():
            exclusion = self._exclusion_reason(pool, server, now)
            if exclusion:
                excluded[exclusion] += 1
            elif best is None or (server.free, server.vm) > (
                best.free,
                best.vm,
            ):
                best = server
        if best is None:
            return None, ""
        reason = f"most free slots ({best.free} of {best.slots})"
        if excluded:
            causes = ", ".join(f"{n} {cause}" for cause, n in excluded.items())
            reason = f"{reason}; out: {causes}"
        return best, reason

    def _exclusion_reason(
        self, pool: _Pool, server: BackendServer, now: float
    ) -> str:
        if server.free <= 0:
            return "full"
        if server.is_leaving:
            return "leaving"
        if server.lease_deadline <= now:
            return "silent"
        if not server.is_in_sync:
            return "not yet compared"
        if pool.outlier_detector.is_quarantined(server.vm, now):
            return "quarantined"
        if self._policy.ineligibility_reason(server.vm, server.pool):
            return "not in the pool"
        return ""

    def _choose_holder(self, pool: _Pool, team: TeamId) -> VmId:
        """Return the next holder of `team`'s requests in round-robin order."""
        by_holder = pool.waiting[team]
        holder = next(iter(by_holder))
        by_holder.move_to_end(holder)
        return holder

    def _grant(
        self,
        holder: VmId,
        server: BackendServer,
        team: TeamId,
        pool_id: PoolId,
        reason: str,
        now: float,
    ) -> messages.Permit:
        self._next_permit += 1
        permit_id = PermitId(f"{self._epoch}.{self._next_permit}")
        session = self._holders[holder]
        pair = (pool_id, team)
        session.granted_counts[pair] += 1
        session.permits.add(permit_id)
        self._set_waiting(holder, session, pair, session.waiting[pair] - 1)
        self._add_grant(
            permit_id, _Grant(holder, server.vm, team, pool_id, now)
        )
        pool = self._pools[pool_id]
        self._record_decision(
            DecisionKind.GRANT, server.vm, reason, team, permit_id
        )
        return messages.Permit(
            permit_id,
            server.vm,
            server.incarnation,
            server.address,
            pool_id,
            team,
            pool.is_contended or team in self._blocked_teams,
            reason,
        )

    def _recall_for_pool(self, pool_id: PoolId, pool: _Pool) -> None:
        """Recall permits of the pool, once per period of contention."""
        if pool.is_contended:
            return
        pool.is_contended = True
        self._recall_permits(pool=pool_id)

    def _recall_for_blocked(self, pool: _Pool, eligible: list[TeamId]) -> None:
        for team in pool.waiting:
            if team not in eligible and team not in self._blocked_teams:
                self._blocked_teams.add(team)
                self._recall_permits(team=team)

    def _recall_permits(
        self,
        pool: PoolId | str = "",
        team: TeamId | str = "",
        hard: bool = False,
    ) -> None:
        recall = messages.Recall(
            self._availability_zone, self._epoch, pool, team, hard=hard
        )
        holders = {
            grant.holder
            for grant in self._permits.values()
            if pool in ("", grant.pool) and team in ("", grant.team)
        }
        for holder in holders:
            self._send(holder, recall)

    def _recall_if_evacuated(self) -> None:
        if self._gate.has_just_closed():
            for holder in self._holders:
                self._send(holder, self._gate.recall())

    def _record_outcomes(
        self,
        grant: _Grant,
        returned_permit: messages.ReturnedPermit,
        now: float,
    ) -> None:
        pool = self._pools[grant.pool]
        active = [vm for vm, server in pool.servers.items() if server.permits]
        if pool.outlier_detector.record(
            grant.server,
            returned_permit.requests,
            returned_permit.failures,
            now,
            active,
        ):
            self._record_decision(
                DecisionKind.QUARANTINE,
                grant.server,
                "fails requests that its peers complete",
            )
