"""A coordinator node: its components and their wiring."""

import asyncio
import itertools
import logging
import pathlib

from galenarill.cluster import (
    Call,
    Code,
    LeaderClient,
    NoAnswerError,
    Presence,
    Reply,
    ReportWorker,
    WorkerLeft,
)
from galenarill.common import (
    AvailabilityZoneId,
    PoolId,
    VmId,
    WorkerId,
    monotonic_now,
)
from galenarill.consensus import (
    Entry,
    EntryKind,
    LogDriver,
    Replica,
    Role,
    StateMachine,
    open_journal,
    restore_replica,
)
from galenarill.coordinator.fleet import Fleet
from galenarill.coordinator.leader import Leader
from galenarill.coordinator.machines import manage_machines
from galenarill.coordinator.moves import PoolRebalancer
from galenarill.coordinator.options import scheduler_options
from galenarill.coordinator.proposals import Proposals
from galenarill.coordinator.requests import RequestHandler
from galenarill.coordinator.service import CoordinatorService
from galenarill.coordinator.waves import WaveRunner
from galenarill.errors import ProtocolError
from galenarill.jobs import ClusterState, Incarnation, decode_commands
from galenarill.links import Mesh
from galenarill.pools import MachineClient
from galenarill.settings import NodeSettings
from galenarill.workers import (
    AdviceClient,
    WorkerClient,
    WorkerRegistry,
    WorkerReport,
    begins_in_future,
)

__all__ = ["Coordinator"]

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.05
# Minimum election timeout, in seconds. Many times a sync of the slowest disk
# and a round trip between availability zones.
ELECTION_TIMEOUT_SECONDS = 0.6
# Period of `Presence` messages, in seconds. Gateways wait 1 s for the next one
# of a leader.
PRESENCE_SECONDS = 0.35
# Every how many periods a coordinator that doesn't lead tells gateways. They
# need it only to keep links alive; each change is told at once.
STANDBY_PRESENCE_PERIODS = 2
# Silence after which a link counts as half-open, in seconds. Twice the longest
# interval of `Presence` messages.
LINK_IDLE_TIMEOUT_SECONDS = 1.5
# Time in which a new leader hears of every zone by workers' reports and the
# machine list, in seconds: three periods of the reports.
ZONES_KNOWN_SECONDS = 3.0


class _ClusterStateMachine(StateMachine):
    """Applies committed entries to the replicated state."""

    def __init__(self, state: ClusterState):
        self.state = state
        self.proposals: Proposals | None = None
        self.changed_jobs: set = set()

    @property
    def version(self) -> int:
        return self.state.version

    def apply(self, entry: Entry) -> None:
        commands = []
        if entry.kind is EntryKind.COMMAND:
            try:
                commands = decode_commands(entry.data)
            except ProtocolError as error:
                logger.error(
                    "undecodable committed entry skipped",
                    extra={"why": str(error)},
                )
        self.changed_jobs |= self.state.apply(entry.index, commands)
        self.proposals.note_applied(entry.index, entry.term)

    def encode(self) -> bytes:
        return self.state.encode()

    def restore(self, data: bytes, index: int) -> None:
        self.state.restore(data, index)


class Coordinator(CoordinatorService):
    """A coordinator without its external interfaces."""

    def __init__(
        self,
        settings: NodeSettings,
        client: WorkerClient,
        machine_client: MachineClient | None,
        advice_client: AdviceClient | None = None,
    ):
        """Open the journal and create all components; `run` starts them.

        Args:
            settings: Settings of this process.
            client: Sends orders to workers.
            machine_client: Client of the platform's machine interface, or None.
            advice_client: Client of the platform's policy service, or None.

        Raises:
            JournalError: If the disk cannot be used.
        """
        self._settings = settings
        self._vm = settings.link_address
        self._client = client
        self._machine_client = machine_client
        self._advice_client = advice_client
        self._machine_task: asyncio.Task | None = None
        self._fleet: Fleet | None = None
        self._led_since = float("inf")
        self._leader: Leader | None = None
        self._leader_client = LeaderClient(self._send)
        self._coordinators: dict[VmId, Presence] = {}
        self._state = ClusterState()
        self._state_machine = _ClusterStateMachine(self._state)
        self._replica, self._driver, self._registry = self._open_log()
        self._proposals = Proposals(self._driver, self._replica)
        self._state_machine.proposals = self._proposals
        self._request_handler = RequestHandler(
            self._state,
            self._proposals.propose,
            self._can_serve_reads,
            self._knows_zone,
            lambda: self._leader,
            lambda: self._leader,
        )
        self._mesh = Mesh(
            self._vm,
            self._vm,
            {vm: vm for vm in settings.seed_link_addresses - {self._vm}},
            settings.link_secret.encode(),
            self._on_message,
            self._on_link,
            accepts_unknown_peers=True,
            idle_timeout_seconds=LINK_IDLE_TIMEOUT_SECONDS,
        )
        self._tasks: set[asyncio.Task] = set()

    def _open_log(self) -> tuple[Replica, LogDriver, WorkerRegistry]:
        settings = self._settings
        journal, contents = open_journal(pathlib.Path(settings.data_folder))
        replica = restore_replica(
            self._vm,
            settings.seed_link_addresses - {self._vm},
            settings.seed_link_addresses if settings.forms_log else frozenset(),
            contents,
            monotonic_now(),
            target_voters=2 * settings.replaceable_voters + 1,
            election_timeout_seconds=ELECTION_TIMEOUT_SECONDS,
        )
        if contents.snapshot is not None:
            self._state.restore(contents.snapshot.data, contents.snapshot.index)
        driver = LogDriver(
            replica,
            journal,
            self._state_machine,
            self._send,
            self._on_turn,
            monotonic_now,
        )
        # Before a new log there was no leader whose orders may be under way.
        is_new = settings.forms_log and contents.snapshot is None
        registry = WorkerRegistry(float("-inf") if is_new else monotonic_now())
        return replica, driver, registry

    @property
    def leader(self) -> Leader | None:
        """The scheduler while this coordinator leads, else None."""
        return self._leader

    @property
    def replica(self) -> Replica:
        """The replica of the log."""
        return self._replica

    @property
    def state(self) -> ClusterState:
        """The replicated state as applied on this replica."""
        return self._state

    def add_seeds(self, settings: NodeSettings) -> None:
        """Add the seed links of new settings as peers."""
        for vm in settings.seed_link_addresses:
            self._mesh.add_peer(vm, vm)

    async def run(self) -> None:
        """Run the node until cancelled.

        Raises:
            JournalError: If the journal failed.
        """
        await self._mesh.start()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._tick_forever())
                group.create_task(self._broadcast_presence_forever())
        finally:
            if self._leader is not None:
                self._stop_leading()
            await self._mesh.stop()

    async def call_leader(self, request, deadline: float) -> Reply:
        """Answer a request locally, or forward it to the leader."""
        is_unsettled = False
        if self._can_serve_reads():
            answer = self._spawn(self._request_handler.answer(0, request))
            # It goes on after the deadline, since it may still be carried out.
            await asyncio.wait({answer}, timeout=deadline - monotonic_now())
            if not answer.done():
                raise NoAnswerError("not committed before the deadline")
            reply = answer.result()
            if reply.code not in (Code.NOT_LEADING, Code.UNSETTLED):
                return reply
            is_unsettled = reply.code is Code.UNSETTLED
        return await self._leader_client.call_leader(
            request, deadline, is_unsettled=is_unsettled
        )

    async def note_report(self, report: WorkerReport, deadline: float) -> None:
        """Handle a worker's report and forward it to other coordinators."""
        if not self._is_credible(report):
            return
        message = ReportWorker(report)
        self._apply_report(report)
        for peer in self._coordinators:
            self._mesh.send(peer, message)
        if report.is_draining:
            await self.call_leader(message, deadline)

    def note_left(self, worker: WorkerId) -> None:
        """Handle a worker's departure and tell the other coordinators."""
        notice = WorkerLeft(worker, self._registry.latest_born(worker))
        self._apply_departure(notice)
        for peer in self._coordinators:
            self._mesh.send(peer, notice)

    def _send(self, peer: VmId, message) -> bool:
        return self._mesh.send(peer, message)

    def _can_serve_reads(self) -> bool:
        return self._replica.can_serve_reads(monotonic_now())

    def _knows_zone(self, zone: AvailabilityZoneId) -> bool | None:
        """Return whether a worker, machine or VM is known in a zone.

        Returns None while this leader may not have heard of all of them.
        """
        settings = self._settings
        reports = [known.report for known in self._registry.workers.values()]
        if self._leader is not None:
            reports += [s.report for s in self._leader.sessions.values()]
        machines = self._fleet.machines.values() if self._fleet else ()
        if (
            zone in settings.zones
            or zone == settings.availability_zone
            or any(report.zone == zone for report in reports)
            or any(machine.zone == zone for machine in machines)
        ):
            return True
        has_led_long = (
            self._leader is not None
            and monotonic_now() > self._led_since + ZONES_KNOWN_SECONDS
        )
        is_complete = settings.zones or has_led_long
        return False if is_complete else None

    def _apply_report(self, report: WorkerReport) -> None:
        if not self._is_credible(report):
            return
        if (
            self._registry.record_report(report, monotonic_now())
            and self._leader
        ):
            self._leader.note_report(self._registry.workers[report.worker])

    def _is_credible(self, report: WorkerReport) -> bool:
        """Return whether a report may describe a worker to use.

        Another writer may use the id of a real worker.
        """
        if begins_in_future(report.born):
            why = "it begins in the future"
        elif not self._is_configured(report.pool):
            # It is sent again before long, when a configuration may name it.
            why = "its pool is unknown"
        else:
            return True
        logger.warning(
            "report of a worker ignored",
            extra={
                "worker": report.worker,
                "born": report.born,
                "pool": report.pool,
                "why": why,
            },
        )
        return False

    def _is_configured(self, pool: PoolId) -> bool:
        """Return whether a pool is configured, or nothing is yet."""
        configuration = self._state.routing.configuration
        return configuration.version == 0 or any(
            known.name == pool for known in configuration.pools
        )

    def _apply_departure(self, notice: WorkerLeft) -> None:
        worker, born = notice.worker, notice.born
        if born is None:
            born = self._registry.latest_born(worker)
        if born is None:
            return
        self._registry.note_left(worker, born)
        if self._leader is not None:
            self._leader.note_left(Incarnation(worker, born))

    def _on_link(self, peer: VmId, is_up: bool) -> None:
        self._leader_client.record_link(peer, is_up)
        if not is_up:
            self._coordinators.pop(peer, None)
        if is_up:
            self._mesh.send(peer, self._presence())
        logger.info("link", extra={"peer": peer, "up": is_up})

    def _on_message(self, peer: VmId, message) -> None:
        match message:
            case Presence():
                self._note_presence(peer, message)
            case Call():
                self._spawn(self._answer_call(peer, message))
            case Reply():
                self._leader_client.record_reply(message)
            case ReportWorker():
                self._apply_report(message.report)
            case WorkerLeft():
                self._apply_departure(message)
            case _:
                self._replica.add_peer(peer)
                self._driver.receive(peer, message)

    def _note_presence(self, peer: VmId, presence: Presence) -> None:
        if not presence.coordinators:
            # Only gateways send this; it keeps their link alive.
            return
        if peer not in self._coordinators:
            self._replica.add_peer(peer)
            for known in self._registry.workers.values():
                self._mesh.send(peer, ReportWorker(known.report))
        self._coordinators[peer] = presence
        self._leader_client.record_presence(peer, presence)
        for vm in presence.coordinators:
            self._mesh.add_peer(vm, vm)

    async def _answer_call(self, peer: VmId, call: Call) -> None:
        reply = await self._request_handler.answer(call.call, call.request)
        self._mesh.send(peer, reply)

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _presence(self) -> Presence:
        return Presence(
            self._replica.term,
            self._can_serve_reads(),
            tuple(sorted({self._vm, *self._coordinators})),
        )

    async def _broadcast_presence_forever(self) -> None:
        for period in itertools.count():
            presence = self._presence()
            if presence.leads or period % STANDBY_PRESENCE_PERIODS == 0:
                self._broadcast_presence()
            else:
                for peer in self._coordinators:
                    self._mesh.send(peer, presence)
            await asyncio.sleep(PRESENCE_SECONDS)

    def _broadcast_presence(self) -> None:
        presence = self._presence()
        for peer in self._mesh.connected_peers:
            self._mesh.send(peer, presence)

    async def _tick_forever(self) -> None:
        while True:
            self._driver.tick()
            self._registry.forget_silent(monotonic_now())
            await asyncio.sleep(TICK_SECONDS)

    def _on_turn(self, has_applied: bool) -> None:
        changed_jobs, self._state_machine.changed_jobs = (
            self._state_machine.changed_jobs,
            set(),
        )
        if self._leader is not None:
            self._leader.note_applied(changed_jobs)
        self._proposals.fail_if_not_leading()
        self._update_leadership()

    def _update_leadership(self) -> None:
        term = self._replica.term
        if self._leader is not None and (
            self._leader.term != term or self._replica.role is not Role.LEADER
        ):
            self._stop_leading()
        if self._leader is None and self._can_serve_reads():
            self._start_leading(term)

    def _start_leading(self, term: int) -> None:
        settings = self._settings
        self._leader = Leader(
            term,
            self._state,
            self._registry,
            self._client,
            self._proposals.propose,
            self._has_leader_lease,
            settings.keep_job_seconds,
            settings.max_worker_lease_ms / 1000,
            self._advice_client,
            scheduler_options(settings),
        )
        self._leader.start()
        self._led_since = monotonic_now()
        if self._machine_client is not None:
            fleet = Fleet(
                term,
                self._state,
                self._machine_client,
                self._proposals.propose,
                self._has_leader_lease,
                settings.vm,
                settings.machine_lease_ms / 1000,
            )
            self._fleet = fleet
            self._leader.disruptions.watch(fleet)
            self._leader.count_machines(fleet)
            rebalancer = PoolRebalancer(self._leader, self._state, fleet)
            wave_runner = WaveRunner(
                self._leader, self._state, fleet, self._proposals.propose
            )
            self._machine_task = asyncio.create_task(
                manage_machines(fleet, rebalancer, wave_runner)
            )
        self._broadcast_presence()

    def _stop_leading(self) -> None:
        self._leader.stop()
        self._leader = None
        self._fleet = None
        if self._machine_task is not None:
            self._machine_task.cancel()
            self._machine_task = None
        self._broadcast_presence()

    def _has_leader_lease(self) -> bool:
        return self._replica.has_leader_lease(monotonic_now())
