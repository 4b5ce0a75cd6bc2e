"""Requests of gateways, workers and operators, served by the leader."""

import collections
import logging
from collections.abc import Callable

import msgspec

from galenarill.cluster import messages as msg
from galenarill.cluster.messages import Code, Reply
from galenarill.common import (
    AvailabilityZoneId,
    JobId,
    TeamId,
    monotonic_now,
    wall_now,
)
from galenarill.coordinator.admitting import AdmissionPolicy
from galenarill.coordinator.explaining import ExplanationSource
from galenarill.coordinator.job_sizes import describe_size
from galenarill.errors import NotLeaderError
from galenarill.jobs import (
    AcceptJob,
    CancelJob,
    ClusterState,
    Configure,
    DrainWorker,
    EvacuateZone,
    Job,
    JobStatus,
    RestoreZone,
    StartWave,
)
from galenarill.placement import has_gang_above
from galenarill.routing import Queue, Refusal

__all__ = ["RequestHandler"]

logger = logging.getLogger(__name__)

# Age of the queue lengths that are told, in seconds.
QUEUE_LENGTH_SECONDS = 0.5
# Time after which a cancellation that is rejected is to be sent again, in
# seconds.
WITHDRAWAL_RETRY_SECONDS = 10
# Time after which a job that its tenant's limit rules out is to be sent again,
# in seconds. Only a change of the configuration helps.
ABOVE_LIMIT_RETRY_SECONDS = 60

_REFUSALS = {
    Refusal.NO_CONFIGURATION: Code.NO_CONFIGURATION,
    Refusal.UNKNOWN_QUEUE: Code.UNKNOWN_QUEUE,
    Refusal.UNKNOWN_KEY: Code.UNKNOWN_KEY,
}


class RequestHandler:
    """Answers requests from the replicated state while it is up to date.

    A change is committed before its request is acknowledged.
    """

    def __init__(
        self,
        state: ClusterState,
        propose: Callable,
        can_serve_reads: Callable[[], bool],
        knows_zone: Callable[[AvailabilityZoneId], bool | None],
        admission_policy: Callable[[], AdmissionPolicy | None] = lambda: None,
        explanation_source: Callable[[], ExplanationSource | None] = lambda: (
            None
        ),
    ):
        """Create a handler that reads `state`.

        Args:
            state: Replicated state.
            propose: Proposes commands, and returns a future of their commit.
            can_serve_reads: Returns whether this replica leads and `state` is
                up to date.
            knows_zone: Returns whether a worker, machine or VM is in a zone,
                or None if not all of them are known yet.
            admission_policy: Returns what decides on new jobs, or None if this
                coordinator doesn't lead, so that it rejects none.
            explanation_source: Returns what explains placements, or None if
                this coordinator doesn't lead.
        """
        self._state = state
        self._propose = propose
        self._can_serve_reads = can_serve_reads
        self._knows_zone = knows_zone
        # Number of uncommitted changes of each zone.
        self._changing_zones: collections.Counter[AvailabilityZoneId] = (
            collections.Counter()
        )
        self._admission_policy = admission_policy
        self._explanation_source = explanation_source
        # Path of the queue, and tenant, of the jobs that are being accepted.
        self._accepting: dict[JobId, tuple[tuple[str, str], TeamId]] = {}
        self._counted_at = float("-inf")
        # By host and prefix: a removed queue may share its name with another.
        self._waiting_by_queue: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    async def answer(self, call: int, request) -> Reply:
        """Answer one request."""
        if not self._can_serve_reads():
            return Reply(call, Code.NOT_LEADING)
        try:
            match request:
                case msg.SubmitJob():
                    return await self._submit(call, request)
                case msg.AskJob():
                    return self._job_status(call, request)
                case msg.WithdrawJob():
                    return await self._withdraw(call, request)
                case msg.AskQueue():
                    return self._queue_length(call, request)
                case msg.ExplainJob():
                    return self._explain(call, request)
                case msg.ChangeConfiguration():
                    return await self._configure(call, request)
                case msg.ReadConfiguration():
                    return self._read_configuration(call)
                case msg.ReportWorker():
                    return await self._drain(call, request)
                case msg.BeginWave():
                    return await self._start_wave(call, request)
                case msg.AskWave():
                    return self._wave_status(call, request)
                case msg.ChangeEvacuation():
                    return await self._change_evacuation(call, request)
        except NotLeaderError:
            return Reply(call, Code.UNSETTLED)
        return Reply(call, Code.INVALID)

    async def _submit(self, call: int, request: msg.SubmitJob) -> Reply:
        found = self._state.routing.find(
            request.host, request.path, request.key
        )
        if isinstance(found, Refusal):
            return self._refuse(call, request.job, found)
        queue, tenant = found
        if self._is_id_in_use(request.job, queue, tenant):
            logger.info("job id in use", extra={"job": request.job})
            return Reply(call, Code.ID_IN_USE)
        if request.job in self._state.jobs:
            return Reply(call, Code.DONE)
        if not self._state.withdrawn.covers(request.job, queue.path, tenant):
            rejection = self._rejection(call, request, queue, tenant)
            if rejection is not None:
                return rejection
            await self._accept(request, queue, tenant)
            if request.job in self._state.jobs:
                self._log_accepted(request, queue, tenant)
                return Reply(call, Code.DONE)
        # Cancelled before it arrived, or before it was committed.
        logger.info(
            "submission of a withdrawn job refused",
            extra={"job": request.job, "queue": queue.name, "tenant": tenant},
        )
        return Reply(call, Code.UNKNOWN)

    def _rejection(
        self, call: int, request: msg.SubmitJob, queue: Queue, tenant: TeamId
    ) -> Reply | None:
        """Return the reply to a job that is rejected, or None to accept it.

        A job that is being accepted is never rejected: its first attempt may
        be committed.
        """
        if request.job in self._accepting:
            return None
        settings = self._state.routing.tenant(tenant)
        if settings is not None and has_gang_above(
            settings.upper_limit, request.spec.steps
        ):
            logger.info(
                "job above its tenant's limit rejected",
                extra={"job": request.job, "tenant": tenant},
            )
            return Reply(
                call, Code.ABOVE_LIMIT, number=ABOVE_LIMIT_RETRY_SECONDS
            )
        policy = self._admission_policy()
        if policy is None:
            return None
        admission = policy.decide_admission(
            request.job, request.spec, queue, tenant
        )
        if admission.retry_after_seconds is None:
            return None
        return Reply(call, Code.TOO_LATE, number=admission.retry_after_seconds)

    async def _accept(
        self, request: msg.SubmitJob, queue: Queue, tenant: TeamId
    ) -> None:
        self._accepting[request.job] = queue.path, tenant
        try:
            await self._propose(
                AcceptJob(
                    request.job,
                    queue.name,
                    tenant,
                    request.spec,
                    wall_now(),
                    queue,
                )
            )
        finally:
            self._accepting.pop(request.job, None)

    def _log_accepted(
        self, request: msg.SubmitJob, queue: Queue, tenant: TeamId
    ) -> None:
        steps = request.spec.steps
        logger.info(
            "job accepted",
            extra={
                "job": request.job,
                "queue": queue.name,
                "tenant": tenant,
                "tasks": sum(step.count for step in steps),
                **describe_size(request.spec, queue),
                "lasts": any(step.is_long_running for step in steps),
                "fills": any(step.is_best_effort for step in steps),
                "target_ms": max(step.target_ms for step in steps),
                "may_miss": max(step.max_unavailable for step in steps),
                "configuration": self._version,
            },
        )

    def _is_id_in_use(
        self, job_id: JobId, queue: Queue, tenant: TeamId
    ) -> bool:
        """Return whether another queue or tenant has a job with an id."""
        job = self._state.jobs.get(job_id)
        if job is not None:
            return not self._state.is_visible(job, queue.path, tenant)
        caller = queue.path, tenant
        return self._accepting.get(job_id, caller) != caller

    def _job_status(self, call: int, request: msg.AskJob) -> Reply:
        job = self._find_job(request)
        if isinstance(job, Refusal):
            return self._refuse(call, request.job, job)
        if job is None:
            logger.info("job unknown", extra={"job": request.job})
            return Reply(call, Code.UNKNOWN)
        return Reply(call, Code.DONE, _status(job))

    async def _withdraw(self, call: int, request: msg.WithdrawJob) -> Reply:
        """Cancel a job.

        The id of a job that is not known is withdrawn before that is answered:
        its submission may still be under way.
        """
        found = self._state.routing.find(
            request.host, request.path, request.key
        )
        if isinstance(found, Refusal):
            return self._refuse(call, request.job, found)
        queue, tenant = found
        version = self._version
        if self._visible_job(request.job, queue, tenant) is None:
            if self._state.withdrawn.can_add(request.job, queue.path, tenant):
                await self._propose(
                    CancelJob(request.job, wall_now(), queue.path, tenant)
                )
            if self._version != version:
                # The tenant may have another name by now.
                return await self._withdraw(call, request)
        job = self._visible_job(request.job, queue, tenant)
        if job is None:
            return self._answer_withdrawn(call, request.job, queue, tenant)
        if job.status is JobStatus.ACTIVE:
            await self._propose(CancelJob(request.job, wall_now()))
        logger.info("job cancelled", extra={"job": request.job})
        return Reply(call, Code.DONE)

    def _answer_withdrawn(
        self, call: int, job_id: JobId, queue: Queue, tenant: TeamId
    ) -> Reply:
        """Return the reply to the cancellation of a job that is not known."""
        is_withdrawn = self._state.withdrawn.covers(job_id, queue.path, tenant)
        logger.info(
            "unknown job withdrawn"
            if is_withdrawn
            else "unknown job not withdrawn, the tenant has too many of them",
            extra={"job": job_id, "queue": queue.name, "tenant": tenant},
        )
        if is_withdrawn:
            return Reply(call, Code.UNKNOWN)
        return Reply(
            call, Code.TOO_MANY_WITHDRAWN, number=WITHDRAWAL_RETRY_SECONDS
        )

    def _queue_length(self, call: int, request: msg.AskQueue) -> Reply:
        found = self._state.routing.find(
            request.host, request.path, request.key
        )
        if isinstance(found, Refusal):
            return self._refuse(call, "", found)
        return Reply(call, Code.DONE, number=self._waiting_jobs(found[0]))

    def _explain(self, call: int, request: msg.ExplainJob) -> Reply:
        source = self._explanation_source()
        if source is None:
            return Reply(call, Code.NOT_LEADING)
        found = self._state.routing.find(
            request.host, request.path, request.key
        )
        if isinstance(found, Refusal):
            return self._refuse(call, "", found)
        explanation = source.explain_job(request.spec, *found)
        return Reply(call, Code.DONE, document=msgspec.json.encode(explanation))

    def _waiting_jobs(self, queue: Queue) -> int:
        """Return the number of a queue's jobs without a start.

        They are counted anew at most each `QUEUE_LENGTH_SECONDS`.
        """
        now = monotonic_now()
        if now >= self._counted_at + QUEUE_LENGTH_SECONDS:
            self._counted_at = now
            self._waiting_by_queue = collections.Counter(
                job.queue_settings.path
                for job in self._state.jobs.values()
                if job.status is JobStatus.ACTIVE
                and not job.has_started
                and job.queue_settings is not None
            )
        return self._waiting_by_queue[queue.path]

    async def _configure(
        self, call: int, request: msg.ChangeConfiguration
    ) -> Reply:
        configuration = request.configuration
        if configuration.version > self._version:
            await self._propose(Configure(configuration))
            logger.info(
                "configuration in force",
                extra={
                    "version": configuration.version,
                    "queues": len(configuration.queues),
                    "tenants": len(configuration.tenants),
                },
            )
            self._log_removed_queues()
        return Reply(call, Code.DONE, number=self._version)

    def _log_removed_queues(self) -> None:
        """Log the queues that are kept only for their active jobs."""
        jobs_by_queue = collections.Counter(
            job.queue_settings
            for job in self._state.jobs.values()
            if job.status is JobStatus.ACTIVE
        )
        for queue, count in jobs_by_queue.items():
            if queue is None or self._state.routing.queue(queue.name) != queue:
                logger.warning(
                    "queue removed, its jobs keep its last settings",
                    extra={
                        "queue": queue and queue.name,
                        "pool": queue and queue.pool,
                        "jobs": count,
                    },
                )

    def _read_configuration(self, call: int) -> Reply:
        document = self._state.routing.configuration.document
        if not document:
            return Reply(call, Code.NO_CONFIGURATION)
        return Reply(call, Code.DONE, document=document)

    async def _drain(self, call: int, request: msg.ReportWorker) -> Reply:
        report = request.report
        # A late report may be of an earlier incarnation.
        if self._state.draining.get(report.worker, -1) < report.born:
            await self._propose(DrainWorker(report.worker, report.born))
            logger.info(
                "worker drains",
                extra={"worker": report.worker, "born": report.born},
            )
        return Reply(call, Code.DONE)

    async def _start_wave(self, call: int, request: msg.BeginWave) -> Reply:
        if request.wave not in self._state.waves:
            await self._propose(
                StartWave(
                    request.wave,
                    request.machines,
                    request.max_machines_down,
                    wall_now() + request.duration_s,
                )
            )
            logger.info(
                "wave begun",
                extra={
                    "wave": request.wave,
                    "machines": len(request.machines),
                    "at_once": request.max_machines_down,
                    "seconds": request.duration_s,
                },
            )
        return Reply(call, Code.DONE)

    def _wave_status(self, call: int, request: msg.AskWave) -> Reply:
        wave = self._state.waves.get(request.wave)
        if wave is None:
            return Reply(call, Code.UNKNOWN)
        text = "completed" if wave.is_completed else "running"
        return Reply(call, Code.DONE, text)

    async def _change_evacuation(
        self, call: int, request: msg.ChangeEvacuation
    ) -> Reply:
        zone, state = request.zone, self._state
        is_ordered = zone in state.evacuated_zones or (
            zone in state.restored_zones
        )
        if not is_ordered:
            is_known = self._knows_zone(zone)
            if is_known is None:
                return Reply(call, Code.NOT_LEADING)
            if not is_known:
                logger.info("zone unknown", extra={"zone": zone})
                return Reply(call, Code.UNKNOWN_ZONE)
        in_force = (
            state.evacuated_zones
            if request.is_evacuated
            else state.restored_zones
        )
        # While another change is being committed, the log decides.
        if zone in in_force and not self._changing_zones[zone]:
            return Reply(call, Code.DONE)
        command = EvacuateZone if request.is_evacuated else RestoreZone
        self._changing_zones[zone] += 1
        try:
            await self._propose(command(zone, wall_now()))
        finally:
            self._changing_zones[zone] -= 1
            if not self._changing_zones[zone]:
                del self._changing_zones[zone]
        logger.info(
            "zone evacuated" if request.is_evacuated else "zone restored",
            extra={
                "zone": zone,
                "version": state.version,
                "evacuated": sorted(state.evacuated_zones),
            },
        )
        return Reply(call, Code.DONE)

    def _find_job(self, request) -> Job | Refusal | None:
        found = self._state.routing.find(
            request.host, request.path, request.key
        )
        if isinstance(found, Refusal):
            return found
        return self._visible_job(request.job, *found)

    def _visible_job(
        self, job_id: JobId, queue: Queue, tenant: TeamId
    ) -> Job | None:
        """Return a job of a caller's queue and tenant, or None."""
        job = self._state.jobs.get(job_id)
        if job is None or not self._state.is_visible(job, queue.path, tenant):
            return None
        return job

    def _refuse(self, call: int, job: str, refusal: Refusal) -> Reply:
        logger.info(
            "request refused",
            extra={
                "job": job,
                "why": refusal.value,
                "configuration": self._version,
            },
        )
        return Reply(call, _REFUSALS[refusal])

    @property
    def _version(self) -> int:
        return self._state.routing.configuration.version


def _status(job: Job) -> str:
    match job.status:
        case JobStatus.COMPLETED:
            return "completed"
        case JobStatus.FAILED:
            return "failed"
        case JobStatus.CANCELLED:
            return "canceled"
    return "running" if job.has_started else "pending"
