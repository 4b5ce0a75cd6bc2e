"""What operators configure: queues, pools and tenants."""

import enum

import msgspec

from galenarill.world import PoolId, QueueId, TeamId

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
        cpu: Thousandths of a core.
        mem_mb: Memory in MB.
        gpu: Accelerators.

    Example:
        >>> Resources(500, 100).fits(Resources(500, 200))
        True
    """

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def fits(self, available: "Resources") -> bool:
        """Tell whether this amount fits into `available`."""
        return (
            self.cpu <= available.cpu
            and self.mem_mb <= available.mem_mb
            and self.gpu <= available.gpu
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(
            self.cpu + other.cpu,
            self.mem_mb + other.mem_mb,
            self.gpu + other.gpu,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference, which may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.mem_mb - other.mem_mb,
            self.gpu - other.gpu,
        )

    def times(self, count: int) -> "Resources":
        """Return this amount `count` times."""
        return Resources(
            self.cpu * count, self.mem_mb * count, self.gpu * count
        )


class AdvicePolicy(msgspec.Struct, frozen=True, array_like=True):
    """How an external policy service chooses workers for a queue.

    Attributes:
        base_ms: Time that an answer takes, in milliseconds.
        per_worker_ms: Added time for each worker asked about.
        ticket_ms: How long a ticket is valid.
    """

    base_ms: float
    per_worker_ms: float
    ticket_ms: float


class Queue(msgspec.Struct, frozen=True, array_like=True):
    """A queue of jobs.

    Attributes:
        name: Name.
        host: Host name that callers use.
        prefix: Path prefix that callers use.
        pool: Pool whose workers run its tasks.
        priority: 0 comes first.
        max_attempts: Failures of one task that fail its job.
        stretch: Factor on a job's own time that its objective allows.
        objective_ms: Time that the objective adds to that.
        allows_anonymous: Whether callers need no key.
        advice: Policy service to ask, or None.
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


class Pool(msgspec.Struct, frozen=True, array_like=True):
    """A pool of machines.

    Attributes:
        name: Name.
        has_admission_check: Whether its workers refuse what does not fit.
        is_spare: Whether its machines are off and cost nothing.
    """

    name: PoolId
    has_admission_check: bool
    is_spare: bool


class Tenant(msgspec.Struct, frozen=True, array_like=True):
    """A tenant.

    Attributes:
        name: Name.
        keys: Secrets that its callers present.
        weight: Share when all is full.
        upper_limit: What it may have running; 0 means no limit.
    """

    name: TeamId
    keys: tuple[str, ...]
    weight: float
    upper_limit: Resources


class RequestLimits(msgspec.Struct, frozen=True, array_like=True):
    """Limits on callers' requests.

    Attributes:
        header_bytes: Longest header, or 0 for the default.
        body_bytes: Longest body, or 0 for the default.
    """

    header_bytes: int = 0
    body_bytes: int = 0


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """Everything that operators configure, in one version.

    Attributes:
        version: Version; a higher one replaces a lower one.
        queues: Queues.
        pools: Pools.
        tenants: Tenants.
        limits: Limits on callers' requests.
        document: The configuration as the operator sent it, to be read back.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    pools: tuple[Pool, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    limits: RequestLimits = RequestLimits()
    document: bytes = b""


class ConfigurationFault(enum.Enum):
    """Why a configuration is refused."""

    UNREADABLE = "it cannot be read in full"
    UNKNOWN_POOL = "a queue names a pool that is not there"
    DUPLICATE_ROUTE = "two queues share a host and prefix"
    NO_TIMEOUT = "a time-out is 0"
    DUPLICATE_KEY = "two tenants share a key"
    DUPLICATE_NAME = "two entries share a name"
