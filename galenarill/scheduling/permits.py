"""Queue of waiting requests and permits of one entry VM."""

import collections
import dataclasses
import enum
import heapq
from collections.abc import Iterable

from galenarill.common import (
    AttemptId,
    AvailabilityZoneId,
    PermitId,
    PoolId,
    RequestId,
    TeamId,
    VmId,
)
from galenarill.scheduling import messages

__all__ = [
    "PermitHolder",
    "PermitState",
    "HeldPermitRecord",
    "AttemptStart",
    "ExpiredRequest",
    "SESSION_SECONDS",
    "SESSION_MARGIN_SECONDS",
]

# Length of a session, from the sending of a `Register` that the scheduler has
# answered. A holder may start requests only within a session.
SESSION_SECONDS = 2.0
# Safety margin for clocks that run at different rates.
SESSION_MARGIN_SECONDS = 0.25
# Time for which a contended permit may be reused.
QUANTUM_SECONDS = 0.25
# Time for which an idle permit is kept while it is not contended.
IDLE_TIMEOUT_SECONDS = 1.0
# Waiting time after which demand is also sent to the other zones.
SPILLOVER_DELAY_SECONDS = 0.03


class PermitState(enum.Enum):
    """Whether a request is running on a permit."""

    IDLE = enum.auto()
    BUSY = enum.auto()


@dataclasses.dataclass(slots=True)
class HeldPermitRecord:
    """A permit held by this entry VM, and its use.

    Attributes:
        permit: The permit.
        availability_zone: Zone whose scheduler granted it.
        state: Whether a request is running on it.
        contended: Whether other requests wait for slots.
        recalled: Whether it may start no further request.
        quantum_deadline: Time from which it may not be reused if contended.
        idle_deadline: Time at which it is returned if idle.
        attempts: Number of attempts started on it.
        requests: Number of requests that completed with a response.
        failures: Number of requests that failed.
    """

    permit: messages.Permit
    availability_zone: AvailabilityZoneId
    state: PermitState
    contended: bool
    quantum_deadline: float
    recalled: bool = False
    idle_deadline: float = 0.0
    attempts: int = 0
    requests: int = 0
    failures: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptStart:
    """Assignment of a request to a permit; the request may start.

    Attributes:
        request: Request to start.
        permit: Permit to run it on.
        attempt: Attempt id that the backend server reports while it runs.
    """

    request: RequestId
    permit: messages.Permit
    attempt: AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class ExpiredRequest:
    """A request that was not started before its deadline.

    Attributes:
        request: Request that has expired.
    """

    request: RequestId


@dataclasses.dataclass(slots=True)
class _WaitingRequest:
    request: RequestId
    deadline: float
    spillover_deadline: float
    excluded: frozenset[VmId]


@dataclasses.dataclass(slots=True)
class _Session:
    epoch: str = ""
    opening_sequence: int = 0
    valid_until: float = 0.0
    sequence: int = 0
    sent_at_by_sequence: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    received_permits: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    reported_demand: dict[tuple[PoolId, TeamId], tuple[int, int]] = (
        dataclasses.field(default_factory=dict)
    )


class PermitHolder:
    """Queues the requests of one entry VM and assigns them to permits.

    The holder reports the number of waiting requests of each pool and team to
    the scheduler of its own zone, and also to those of the other zones once the
    oldest request has waited `SPILLOVER_DELAY_SECONDS`. A permit is reused for
    one request after another without a message to the scheduler. It is
    returned after an idle time of `IDLE_TIMEOUT_SECONDS` or, if contended, as
    soon as it is idle or its time quantum has passed.

    The holder does no I/O. The caller collects its output with `take_starts`,
    `take_expired`, `take_returned_ids` and `take_messages`.
    """

    def __init__(self, availability_zone: AvailabilityZoneId):
        """Initialize a holder in `availability_zone` without permits."""
        self._availability_zone = availability_zone
        self._waiting: dict[
            tuple[PoolId, TeamId],
            collections.OrderedDict[RequestId, _WaitingRequest],
        ] = {}
        self._pair_by_request: dict[RequestId, tuple[PoolId, TeamId]] = {}
        self._deadlines: list[tuple[float, RequestId]] = []
        self._permits: dict[PermitId, HeldPermitRecord] = {}
        self._idle: dict[
            tuple[PoolId, TeamId], dict[PermitId, HeldPermitRecord]
        ] = collections.defaultdict(dict)
        self._sessions: dict[AvailabilityZoneId, _Session] = {}
        self._evacuated_zones: frozenset[AvailabilityZoneId] = frozenset()
        self._changed_pairs: set[tuple[PoolId, TeamId]] = set()
        self._returned: dict[
            AvailabilityZoneId, list[messages.ReturnedPermit]
        ] = collections.defaultdict(list)
        self._starts: list[AttemptStart] = []
        self._expired: list[ExpiredRequest] = []
        self._returned_ids: list[PermitId] = []

    @property
    def permits(self) -> dict[PermitId, HeldPermitRecord]:
        """Permits held, by id."""
        return self._permits

    @property
    def has_output(self) -> bool:
        """Whether a `take_` method has anything to return."""
        return bool(
            self._changed_pairs
            or self._returned
            or self._starts
            or self._expired
            or self._returned_ids
        )

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._pair_by_request)

    def is_waiting(self, request: RequestId) -> bool:
        """Return whether `request` is waiting for a slot."""
        return request in self._pair_by_request

    def waiting_for(self, pool: PoolId, team: TeamId) -> int:
        """Return the number of waiting requests of `team` for `pool`."""
        return len(self._waiting.get((pool, team), ()))

    def is_session_valid(
        self, availability_zone: AvailabilityZoneId, now: float
    ) -> bool:
        """Return whether permits of `availability_zone` may be used."""
        session = self._sessions.get(availability_zone)
        return session is not None and now < session.valid_until

    def submit(
        self,
        request: RequestId,
        pool: PoolId,
        team: TeamId,
        deadline: float,
        now: float,
        excluded: frozenset[VmId] = frozenset(),
    ) -> AttemptStart | None:
        """Start `request` on an idle permit, or queue it.

        Args:
            request: Request id that is not in the queue.
            pool: Pool that the request needs.
            team: Team of the request.
            deadline: Latest time at which the request may start.
            now: Monotonic time in seconds.
            excluded: Backend servers on which the request has failed before.

        Returns:
            The assignment to a permit, or None if the request was queued.
        """
        pair = (pool, team)
        if pair not in self._waiting:
            # Most recently used first, so that surplus permits become idle and
            # are returned.
            for record in reversed(self._idle[pair].values()):
                if self._can_start(record, excluded, now):
                    return self._start(record, request)
        waiter = _WaitingRequest(
            request, deadline, now + SPILLOVER_DELAY_SECONDS, excluded
        )
        queue = self._waiting.setdefault(pair, collections.OrderedDict())
        queue[request] = waiter
        self._pair_by_request[request] = pair
        heapq.heappush(self._deadlines, (deadline, request))
        self._changed_pairs.add(pair)
        return None

    def cancel(self, request: RequestId) -> bool:
        """Remove a request from the queue.

        Returns:
            Whether the request was in the queue.
        """
        pair = self._pair_by_request.pop(request, None)
        if pair is None:
            return False
        queue = self._waiting[pair]
        del queue[request]
        if not queue:
            del self._waiting[pair]
        self._changed_pairs.add(pair)
        return True

    def finish(
        self,
        permit_id: PermitId,
        now: float,
        *,
        failed: bool = False,
        running: AttemptId | None = None,
    ) -> None:
        """Record the end of the request on `permit_id`.

        The permit is reused, kept idle or returned. It is always returned
        after a failure.

        Args:
            permit_id: Permit on which the request ran.
            now: Monotonic time in seconds.
            failed: Whether the backend server failed the request.
            running: Attempt that may still be running on the backend server.
        """
        record = self._permits[permit_id]
        record.state = PermitState.IDLE
        if failed:
            record.failures += 1
        else:
            record.requests += 1
        if failed or running is not None:
            self._return_permit(record, (running,) if running else ())
            return
        self._reuse_or_return(record, now)

    def add_permits(self, message: messages.Granted, now: float) -> None:
        """Add granted permits, unless they are of an earlier scheduler."""
        session = self._sessions.get(message.availability_zone)
        if session is None or session.epoch != message.epoch:
            return
        if session.opening_sequence:
            # These permits were sent before the scheduler processed the
            # `Register` that opens the session. It doesn't list them, so the
            # scheduler no longer counts them as held.
            return
        for permit in message.permits:
            pair = (permit.pool, permit.team)
            session.received_permits[pair] += 1
            self._changed_pairs.add(pair)
            record = HeldPermitRecord(
                permit=permit,
                availability_zone=message.availability_zone,
                state=PermitState.IDLE,
                contended=permit.contended,
                quantum_deadline=now + QUANTUM_SECONDS,
                recalled=message.availability_zone in self._evacuated_zones,
            )
            self._permits[permit.permit_id] = record
            self._reuse_or_return(record, now)

    def recall(self, message: messages.Recall, now: float) -> None:
        """Mark matching permits as contended, and return the idle ones."""
        session = self._sessions.get(message.availability_zone)
        if session is None or session.epoch != message.epoch:
            return
        for record in list(self._permits.values()):
            if not _matches(record, message):
                continue
            record.contended = True
            record.recalled = record.recalled or message.hard
            if record.state is PermitState.IDLE:
                self._reuse_or_return(record, now)

    def set_evacuated_zones(self, zones: frozenset[AvailabilityZoneId]) -> None:
        """Set the zones in which no request may start.

        The permits of a newly evacuated zone are returned when they are idle.
        The holder does not wait for the recall of the zone's scheduler, which
        may learn of the evacuation later.
        """
        if zones == self._evacuated_zones:
            return
        self._evacuated_zones = zones
        for record in list(self._permits.values()):
            if record.availability_zone not in zones:
                continue
            record.recalled = True
            if record.state is PermitState.IDLE:
                self._return_permit(record, ())
        self._changed_pairs.update(self._waiting)

    def next_register(
        self,
        availability_zone: AvailabilityZoneId,
        epoch: str,
        now: float,
        *,
        fresh: bool = False,
    ) -> messages.Register:
        """Return the message that opens or renews a session.

        Args:
            availability_zone: Zone whose scheduler is addressed.
            epoch: Epoch of that scheduler.
            now: Monotonic time in seconds.
            fresh: Whether attempts of an earlier process of this VM may still
                be running.

        Returns:
            The message. It lists the permits held if it opens a session.
        """
        session = self._sessions.setdefault(availability_zone, _Session())
        session.sequence += 1
        session.sent_at_by_sequence[session.sequence] = now
        for old in [
            s for s in session.sent_at_by_sequence if s <= session.sequence - 16
        ]:
            del session.sent_at_by_sequence[old]
        if session.epoch == epoch:
            return messages.Register(availability_zone, epoch, session.sequence)
        session.epoch = epoch
        session.opening_sequence = session.sequence
        session.received_permits.clear()
        session.reported_demand.clear()
        self._changed_pairs.update(self._waiting)
        self._returned.pop(availability_zone, None)
        held = tuple(
            messages.HeldPermit(
                record.permit.permit_id,
                record.permit.server,
                record.permit.incarnation,
                record.permit.team,
                record.permit.pool,
            )
            for record in self._permits.values()
            if record.availability_zone == availability_zone
        )
        return messages.Register(
            availability_zone, "", session.sequence, held, fresh
        )

    def handle_register_reply(
        self, message: messages.RegisterReply, now: float
    ) -> None:
        """Process the scheduler's reply to `Register`."""
        session = self._sessions.get(message.availability_zone)
        if session is None:
            return
        if session.epoch != message.epoch:
            if not message.epoch:
                session.epoch = ""
            return
        if session.opening_sequence == message.sequence:
            session.opening_sequence = 0
        sent_at = session.sent_at_by_sequence.pop(message.sequence, None)
        if sent_at is None:
            return
        expires_at = sent_at + SESSION_SECONDS - SESSION_MARGIN_SECONDS
        session.valid_until = max(session.valid_until, expires_at)
        for permit_id in message.dropped:
            record = self._permits.get(permit_id)
            if record is None:
                continue
            record.recalled = True
            if record.state is PermitState.IDLE:
                self._return_permit(record, ())
        for pair in list(self._waiting):
            for record in list(self._idle[pair].values()):
                self._start_next_waiting(record, now)

    def forget_session(self, availability_zone: AvailabilityZoneId) -> None:
        """Make the next `Register` open a new session with the zone."""
        session = self._sessions.get(availability_zone)
        if session is not None:
            session.epoch = ""

    def tick(self, now: float) -> None:
        """Expire waiting requests, and return permits idle for too long."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request = heapq.heappop(self._deadlines)
            if self.cancel(request):
                self._expired.append(ExpiredRequest(request))
        for pair, queue in self._waiting.items():
            if next(iter(queue.values())).spillover_deadline <= now:
                self._changed_pairs.add(pair)
        for idle in self._idle.values():
            for record in list(idle.values()):
                if record.idle_deadline <= now:
                    self._return_permit(record, ())

    def take_starts(self) -> list[AttemptStart]:
        """Return the assignments made since the last call."""
        starts, self._starts = self._starts, []
        return starts

    def take_expired(self) -> list[ExpiredRequest]:
        """Return the requests that expired since the last call."""
        expired, self._expired = self._expired, []
        return expired

    def take_returned_ids(self) -> list[PermitId]:
        """Return the ids of the permits returned since the last call."""
        returned_ids, self._returned_ids = self._returned_ids, []
        return returned_ids

    def take_messages(
        self, now: float
    ) -> list[tuple[AvailabilityZoneId, messages.Demand | messages.Returned]]:
        """Return the messages to schedulers since the last call."""
        outgoing = []
        for zone, permits in self._returned.items():
            session = self._sessions[zone]
            outgoing.append(
                (zone, messages.Returned(zone, session.epoch, tuple(permits)))
            )
        self._returned.clear()
        if not self._changed_pairs:
            return outgoing
        for zone, session in self._sessions.items():
            if not session.epoch or session.opening_sequence:
                continue
            lines = tuple(self._demand_lines(zone, session, now))
            if lines:
                outgoing.append(
                    (zone, messages.Demand(zone, session.epoch, lines))
                )
        if not any(
            session.opening_sequence for session in self._sessions.values()
        ):
            self._changed_pairs.clear()
        return outgoing

    def _demand_lines(
        self, zone: AvailabilityZoneId, session: _Session, now: float
    ) -> Iterable[messages.DemandLine]:
        # If this zone is evacuated, requests need not wait for its slots first.
        has_spillover_delay = (
            zone != self._availability_zone
            and self._availability_zone not in self._evacuated_zones
        )
        for pool, team in self._changed_pairs:
            queue = self._waiting.get((pool, team), {})
            if zone in self._evacuated_zones:
                queue = {}
            elif queue and has_spillover_delay:
                oldest = next(iter(queue.values()))
                if oldest.spillover_deadline > now:
                    queue = {}
            line = (len(queue), session.received_permits[pool, team])
            if line == session.reported_demand.get((pool, team), (0, 0)):
                continue
            session.reported_demand[pool, team] = line
            yield messages.DemandLine(pool, team, *line)

    def _reuse_or_return(self, record: HeldPermitRecord, now: float) -> None:
        """Reuse a permit that is not busy, keep it idle, or return it."""
        if record.recalled or (
            record.contended and record.quantum_deadline <= now
        ):
            self._return_permit(record, ())
            return
        if self._start_next_waiting(record, now):
            return
        if record.contended:
            self._return_permit(record, ())
            return
        pair = (record.permit.pool, record.permit.team)
        record.idle_deadline = now + IDLE_TIMEOUT_SECONDS
        self._idle[pair][record.permit.permit_id] = record

    def _start_next_waiting(self, record: HeldPermitRecord, now: float) -> bool:
        """Start the first waiting request that may run on `record`.

        Returns:
            Whether there was one.
        """
        pair = (record.permit.pool, record.permit.team)
        for waiter in self._waiting.get(pair, {}).values():
            if self._can_start(record, waiter.excluded, now):
                self.cancel(waiter.request)
                self._starts.append(self._start(record, waiter.request))
                return True
        return False

    def _can_start(
        self, record: HeldPermitRecord, excluded: frozenset[VmId], now: float
    ) -> bool:
        return (
            not record.recalled
            and record.permit.server not in excluded
            and self.is_session_valid(record.availability_zone, now)
        )

    def _start(
        self, record: HeldPermitRecord, request: RequestId
    ) -> AttemptStart:
        permit = record.permit
        self._idle[permit.pool, permit.team].pop(permit.permit_id, None)
        record.state = PermitState.BUSY
        record.attempts += 1
        attempt = AttemptId(
            f"{permit.permit_id}.{record.attempts}~{permit.team}"
        )
        return AttemptStart(request, permit, attempt)

    def _return_permit(
        self, record: HeldPermitRecord, running: tuple[AttemptId, ...]
    ) -> None:
        permit = record.permit
        del self._permits[permit.permit_id]
        self._returned_ids.append(permit.permit_id)
        self._idle[permit.pool, permit.team].pop(permit.permit_id, None)
        self._returned[record.availability_zone].append(
            messages.ReturnedPermit(
                permit.permit_id, record.requests, record.failures, running
            )
        )


def _matches(record: HeldPermitRecord, recall: messages.Recall) -> bool:
    permit = record.permit
    return (
        record.availability_zone == recall.availability_zone
        and recall.pool in ("", permit.pool)
        and recall.team in ("", permit.team)
        and recall.server in ("", permit.server)
    )
