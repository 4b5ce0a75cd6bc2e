"""Decoders of the platform's JSON messages into the project's types."""

import msgspec

from galenarill.common import PoolId, QueueId, TeamId, WorkerId
from galenarill.errors import ProtocolError
from galenarill.jobs import JobSpec, Step
from galenarill.platform.fields import (
    Amount,
    Integer,
    Number,
    finite,
    is_address,
    is_id,
    whole,
)
from galenarill.routing import (
    AdvicePolicy,
    Configuration,
    ConfigurationFault,
    Pool,
    Queue,
    RequestLimits,
    Resources,
    Tenant,
    find_configuration_fault,
)
from galenarill.workers import (
    EndedRow,
    RunningRow,
    WorkerLists,
    WorkerReport,
)

__all__ = [
    "decode_job",
    "decode_configuration",
    "decode_report",
    "decode_lists",
    "decode_clock_and_reason",
    "decode_wave",
    "is_job_id",
]

# Limit of a job's payload in the platform's protocol.
MAX_PAYLOAD_BYTES = 4000
# Most ends in one list.
MAX_LISTED_ENDS = 500
JOB_ID_DIGITS = 16
# Limit of the tasks of one job, and of its occurrences, each of which the
# scheduler goes through.
MAX_TASKS = 100_000


class _Resources(msgspec.Struct):
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0


class _Limit(msgspec.Struct):
    cpu: Integer = 0
    mem_mb: Integer = 0
    gpu: Integer = 0


class _Step(msgspec.Struct):
    count: Amount
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0
    estimate_ms: Number = 0
    depends_on: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # Label that a worker must have to run the step's tasks.
    requires: str = ""
    data_rack: str = ""
    # Upper limit of the step's tasks on one worker.
    anti_affinity: Amount = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    # Upper bound of the tail latency of a task that serves requests.
    target_ms: Number = 0
    fills: bool = False
    may_miss: Amount = 0


class _Job(msgspec.Struct):
    # Opaque payload, passed to the worker.
    spec: str
    steps: list[_Step]
    repeat_count: Amount = 0
    # Due time of the first occurrence, as a Unix timestamp.
    initial_delay_ms: Number = 0
    interval_ms: Number = 0


class _Advice(msgspec.Struct):
    decide_ms: Number = 0
    each_ms: Number = 0
    valid_ms: Number = 0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    # Pool whose workers run the queue's tasks.
    service: str
    timeout_ms: Number
    slo_ms: Number = 0
    priority: Integer = 0
    max_attempts: Integer = 1
    stretch: Number = 1.0
    public: bool = False
    advice: _Advice | None = None


class _Service(msgspec.Struct):
    name: str
    admission_check: bool = False
    spare: bool = False


class _Limits(msgspec.Struct):
    max_header_bytes: Integer = 0
    max_body_bytes: Integer = 0


class _Tenant(msgspec.Struct):
    name: str
    weight: Number
    api_keys: list[str] = []
    upper_limit: _Limit = msgspec.field(default_factory=_Limit)


class _Configuration(msgspec.Struct):
    version: Integer
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _Report(msgspec.Struct):
    # Pool that the worker belongs to.
    service: str
    address: str
    zone: str
    state: str
    seq: Integer
    capacity: _Resources
    born: Integer = 0
    machine: str = ""
    # The worker's kind, followed by its rack.
    labels: list[str] = []
    remaining_ms: Number = 0
    cold_left_ms: Number = 0


class _RunLists(msgspec.Struct):
    clock_ms: Number
    running: list[list] = []
    ended: list[list] = []
    born: Integer | None = None


class _OrderResponse(msgspec.Struct):
    clock_ms: Number | None = None
    reason: str = ""


class _Wave(msgspec.Struct):
    wave: Integer
    machines: list[str]
    duration_s: Number
    # Machines that may be unavailable at the same time.
    upper_limit: Integer


def is_job_id(text: str) -> bool:
    """Return whether `text` has the format of a job id.

    Example:
        >>> is_job_id("5c0e7a21d94b36f8")
        True
    """
    return len(text) == JOB_ID_DIGITS and all(
        digit in "0123456789abcdefABCDEF" for digit in text
    )


def decode_job(data: bytes) -> JobSpec:
    """Decode and validate a job submitted by a caller.

    Raises:
        ProtocolError: If the message is malformed or the job is invalid.
    """
    job = _decode(data, _Job)
    if len(job.spec.encode()) > MAX_PAYLOAD_BYTES:
        raise ProtocolError(f"spec is longer than {MAX_PAYLOAD_BYTES} bytes")
    if not job.steps:
        raise ProtocolError("a job needs a step")
    for number, step in enumerate(job.steps):
        if step.count < 1:
            raise ProtocolError(f"step {number}: count must be 1 or more")
        if step.estimate_ms < 0:
            raise ProtocolError(f"step {number}: a negative estimate")
        if any(not 0 <= other < number for other in step.depends_on):
            raise ProtocolError(f"step {number}: depends on no earlier step")
    if sum(step.count for step in job.steps) > MAX_TASKS:
        raise ProtocolError(f"a job has at most {MAX_TASKS} tasks")
    if job.repeat_count > MAX_TASKS:
        raise ProtocolError(f"a job is repeated at most {MAX_TASKS} times")
    if job.interval_ms < 0:
        raise ProtocolError("a negative interval")
    return JobSpec(
        job.spec,
        tuple(_to_step(step) for step in job.steps),
        job.repeat_count,
        job.initial_delay_ms / 1000,
        job.interval_ms / 1000,
    )


def decode_configuration(data: bytes) -> Configuration | ConfigurationFault:
    """Return the decoded configuration, or the reason why it is invalid."""
    try:
        raw = _decode(data, _Configuration)
    except ProtocolError:
        return ConfigurationFault.UNREADABLE
    if raw.version < 1 or any(tenant.weight <= 0 for tenant in raw.tenants):
        return ConfigurationFault.UNREADABLE
    if any(route.timeout_ms <= 0 for route in raw.routes):
        return ConfigurationFault.ZERO_TIMEOUT
    configuration = Configuration(
        raw.version,
        tuple(_to_queue(route) for route in raw.routes),
        tuple(
            Pool(PoolId(s.name), s.admission_check, s.spare)
            for s in raw.services
        ),
        tuple(
            Tenant(
                TeamId(tenant.name),
                tuple(tenant.api_keys),
                tenant.weight,
                _to_resources(tenant.upper_limit),
            )
            for tenant in raw.tenants
        ),
        RequestLimits(raw.limits.max_header_bytes, raw.limits.max_body_bytes),
        data,
    )
    return find_configuration_fault(configuration) or configuration


def decode_report(worker: str, data: bytes) -> WorkerReport:
    """Decode a worker's report of its state and capacity.

    Raises:
        ProtocolError: If the message is malformed, or the state is unknown.
    """
    raw = _decode(data, _Report)
    if raw.state not in ("ready", "draining"):
        raise ProtocolError(f"unknown state {raw.state!r}")
    if not is_id(worker):
        raise ProtocolError(f"not an id of a worker: {worker[:80]!r}")
    if raw.machine and not is_id(raw.machine):
        raise ProtocolError(f"not an id of a machine: {raw.machine[:80]!r}")
    if not is_address(raw.address):
        raise ProtocolError(
            f"address must be host:port, not {raw.address[:80]!r}"
        )
    return WorkerReport(
        WorkerId(worker),
        raw.born,
        raw.seq,
        PoolId(raw.service),
        raw.machine,
        raw.address,
        raw.zone,
        # The first label is the kind, the second one the rack.
        raw.labels[1] if len(raw.labels) > 1 else "",
        tuple(raw.labels),
        _to_resources(raw.capacity),
        raw.state == "draining",
        raw.remaining_ms,
        raw.cold_left_ms,
    )


def decode_lists(data: bytes) -> WorkerLists:
    """Decode a worker's response to a lease renewal.

    Raises:
        ProtocolError: If the message is malformed.
    """
    raw = _decode(data, _RunLists)
    try:
        running = tuple(
            RunningRow(
                _text(row[0]),
                whole(row[1]),
                _text(row[2]),
                finite(row[3]),
                finite(row[4]) if len(row) > 4 else 0.0,
            )
            for row in raw.running
        )
        ended = tuple(
            EndedRow(
                whole(row[0]),
                _text(row[1]),
                whole(row[2]),
                _text(row[3]),
                _text(row[4]),
            )
            for row in raw.ended
        )
    except (IndexError, ValueError) as error:
        raise ProtocolError(f"malformed row in a run list: {error}") from error
    is_cut_off = len(ended) >= MAX_LISTED_ENDS
    return WorkerLists(raw.clock_ms, raw.born, running, ended, is_cut_off)


def decode_clock_and_reason(data: bytes) -> tuple[float | None, str]:
    """Decode a worker's response to an order.

    Returns:
        The worker's clock in ms, or None if not stated, and the reason for a
        refusal, or "". A malformed message gives `(None, "")`.
    """
    try:
        raw = _decode(data, _OrderResponse)
    except ProtocolError:
        return None, ""
    return raw.clock_ms, raw.reason


def decode_wave(data: bytes) -> tuple[int, tuple[str, ...], float, int]:
    """Decode an operator's request for a maintenance wave.

    Returns:
        The wave's number, its machines, the duration in seconds, and how many
        machines may be unavailable at the same time.

    Raises:
        ProtocolError: If the message is malformed or a value is out of range.
    """
    raw = _decode(data, _Wave)
    if raw.upper_limit < 1 or raw.duration_s < 0:
        raise ProtocolError("upper_limit must be 1 or more")
    return raw.wave, tuple(raw.machines), raw.duration_s, raw.upper_limit


def _decode(data: bytes, struct_type):
    try:
        return msgspec.json.decode(data, type=struct_type, strict=True)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ProtocolError(str(error)) from error


def _text(value) -> str:
    if not isinstance(value, str):
        raise ValueError(f"expected a string, not {type(value).__name__}")
    return value


def _to_resources(raw) -> Resources:
    return Resources(raw.cpu, raw.mem_mb, raw.gpu)


def _to_step(raw: _Step) -> Step:
    return Step(
        raw.count,
        _to_resources(raw),
        raw.estimate_ms,
        tuple(raw.depends_on),
        raw.checkpointing,
        raw.gang,
        raw.same_rack,
        raw.requires,
        raw.data_rack,
        raw.anti_affinity,
        raw.speculative,
        raw.long_running,
        raw.image,
        raw.target_ms,
        raw.fills,
        raw.may_miss,
    )


def _to_queue(raw: _Route) -> Queue:
    advice = raw.advice and AdvicePolicy(
        raw.advice.decide_ms, raw.advice.each_ms, raw.advice.valid_ms
    )
    return Queue(
        QueueId(raw.name),
        raw.host,
        raw.path_prefix,
        PoolId(raw.service),
        raw.priority,
        max(1, raw.max_attempts),
        raw.stretch,
        raw.slo_ms,
        raw.public,
        advice,
    )
