"""Configuration by operators: queues, pools and tenants."""

import enum

import msgspec

from galenarill.common import PoolId, QueueId, TeamId

__all__ = [
    "Resources",
    "AdvicePolicy",
    "Queue",
    "Pool",
    "Tenant",
    "RequestLimits",
    "Configuration",
    "ConfigurationFault",
]


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of each resource.

    Attributes:
        cpu: CPU in millicores.
        mem_mb: Memory in MB.
        gpu: Number of accelerators.

    Example:
        >>> Resources(500, 100).fits(Resources(500, 200))
        True
    """

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def fits(self, available: "Resources") -> bool:
        """Return whether no resource exceeds that of `available`."""
        return (
            self.cpu <= available.cpu
            and self.mem_mb <= available.mem_mb
            and self.gpu <= available.gpu
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both amounts."""
        return Resources(
            self.cpu + other.cpu,
            self.mem_mb + other.mem_mb,
            self.gpu + other.gpu,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return this amount less `other`, which may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.mem_mb - other.mem_mb,
            self.gpu - other.gpu,
        )

    def times(self, count: int) -> "Resources":
        """Return this amount multiplied by `count`."""
        return Resources(
            self.cpu * count, self.mem_mb * count, self.gpu * count
        )


class AdvicePolicy(msgspec.Struct, frozen=True, array_like=True):
    """Costs and validity of advice from an external placement policy service.

    Attributes:
        base_ms: Time for a response, in milliseconds.
        per_worker_ms: Additional time for each worker in the request.
        ticket_ms: Validity period of a ticket.
    """

    base_ms: float
    per_worker_ms: float
    ticket_ms: float


class Queue(msgspec.Struct, frozen=True, array_like=True):
    """A queue of jobs.

    Attributes:
        name: Name.
        host: Host name in requests to this queue.
        prefix: Path prefix of requests to this queue.
        pool: Pool whose workers run its tasks.
        priority: Priority; 0 is the highest.
        max_attempts: Number of failures of one task after which its job fails.
        stretch: Factor applied to a job's estimated run time (its critical
            path) to get its objective.
        objective_ms: Constant time that is added to the objective.
        allows_anonymous: Whether requests without a key are accepted.
        advice: Policy of the advice service, or None if it is not used.
    """

    name: QueueId
    host: str
    prefix: str
    pool: PoolId
    priority: int
    max_attempts: int
    stretch: float
    objective_ms: float
    allows_anonymous: bool
    advice: AdvicePolicy | None = None

    @property
    def path(self) -> tuple[str, str]:
        """Host and prefix, by which callers know the queue."""
        return self.host, self.prefix


class Pool(msgspec.Struct, frozen=True, array_like=True):
    """A pool of machines.

    Attributes:
        name: Name.
        has_admission_check: Whether its workers reject tasks that exceed their
            free resources.
        is_spare: Whether this is a spare pool, whose machines are powered
            off and cost nothing.
    """

    name: PoolId
    has_admission_check: bool
    is_spare: bool


class Tenant(msgspec.Struct, frozen=True, array_like=True):
    """A tenant.

    Attributes:
        name: Name.
        keys: Secrets with which its callers authenticate.
        weight: Weight in the fair sharing of resources when demand exceeds
            them.
        upper_limit: Maximum resources of its running tasks; 0 is no limit.
    """

    name: TeamId
    keys: tuple[str, ...]
    weight: float
    upper_limit: Resources


class RequestLimits(msgspec.Struct, frozen=True, array_like=True):
    """Size limits for callers' requests.

    Attributes:
        header_bytes: Maximum header size, or 0 for the default.
        body_bytes: Maximum body size, or 0 for the default.
    """

    header_bytes: int = 0
    body_bytes: int = 0


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """One version of the whole configuration.

    Attributes:
        version: Version; a higher one replaces a lower one. 0 is no
            configuration.
        queues: Queues.
        pools: Pools.
        tenants: Tenants.
        limits: Size limits for callers' requests.
        document: The configuration as received from the operator.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    pools: tuple[Pool, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    limits: RequestLimits = RequestLimits()
    document: bytes = b""


class ConfigurationFault(enum.Enum):
    """Reason for rejecting a configuration."""

    UNREADABLE = "it cannot be read in full"
    UNKNOWN_POOL = "a queue names a pool that is not there"
    DUPLICATE_ROUTE = "two queues share a host and prefix"
    ZERO_TIMEOUT = "a time-out is 0"
    DUPLICATE_KEY = "two tenants share a key"
    DUPLICATE_NAME = "two entries share a name"
