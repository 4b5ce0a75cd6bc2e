"""Lookup of the queue and tenant of a request, and validation."""

import enum
from collections.abc import Iterable

from galenarill.common import PoolId, QueueId, TeamId
from galenarill.routing.model import (
    Configuration,
    ConfigurationFault,
    Pool,
    Queue,
    Tenant,
)

__all__ = ["RoutingTable", "Refusal", "find_configuration_fault"]


class Refusal(enum.Enum):
    """Reason for rejecting a request."""

    NO_CONFIGURATION = "no configuration yet"
    UNKNOWN_QUEUE = "no such queue"
    UNKNOWN_KEY = "no such key"


class RoutingTable:
    """Lookup tables for one configuration.

    Example:
        >>> queue = Queue("q", "a.example", "/x/", "p", 0, 1, 1.5, 600, True)
        >>> table = RoutingTable(Configuration(1, (queue,), (), ()))
        >>> table.find("a.example", "/x/17", None)[0].name
        'q'
        >>> table.find("a.example", "/y/17", None)
        <Refusal.UNKNOWN_QUEUE: 'no such queue'>
    """

    def __init__(self, configuration: Configuration):
        """Build the lookup tables for `configuration`."""
        self.configuration = configuration
        self._queues: dict[QueueId, Queue] = {
            queue.name: queue for queue in configuration.queues
        }
        self._pools: dict[PoolId, Pool] = {
            pool.name: pool for pool in configuration.pools
        }
        self._tenants: dict[TeamId, Tenant] = {
            tenant.name: tenant for tenant in configuration.tenants
        }
        self._tenants_by_key: dict[str, Tenant] = {
            key: tenant
            for tenant in configuration.tenants
            for key in tenant.keys
        }
        queues_by_host: dict[str, list[Queue]] = {}
        for queue in configuration.queues:
            queues_by_host.setdefault(queue.host, []).append(queue)
        for queues in queues_by_host.values():
            queues.sort(key=lambda queue: len(queue.prefix), reverse=True)
        self._queues_by_host = queues_by_host

    def find(
        self, host: str, path: str, key: str | None
    ) -> tuple[Queue, TeamId] | Refusal:
        """Return the queue and the tenant of a request, or why it is rejected.

        The queue is the one with the longest matching path prefix. The tenant
        is "" for a request without a known key to a queue that allows
        anonymous requests.
        """
        if not self.configuration.version:
            return Refusal.NO_CONFIGURATION
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                break
        else:
            return Refusal.UNKNOWN_QUEUE
        tenant = self._tenants_by_key.get(key) if key else None
        if tenant is not None:
            return queue, tenant.name
        return (
            (queue, TeamId(""))
            if queue.allows_anonymous
            else Refusal.UNKNOWN_KEY
        )

    def queue(self, name: QueueId) -> Queue | None:
        """Return the queue with that name, or None."""
        return self._queues.get(name)

    def successor_of(self, queue: Queue) -> Queue | None:
        """Return the queue that continues one of an earlier configuration.

        Callers know a queue by its host and prefix, so the queue with these
        continues it, whatever its name. Otherwise the one with its name does
        if it has the same pool, or if that pool is no longer configured.

        Returns:
            The queue, or None if the earlier one was removed.

        Example:
            >>> queue = Queue("q", "h.example", "/x/", "p", 0, 1, 1, 9, True)
            >>> renamed = Queue("r", "h.example", "/x/", "p", 0, 1, 1, 9, True)
            >>> table = RoutingTable(Configuration(2, (renamed,)))
            >>> table.successor_of(queue).name
            'r'
        """
        for candidate in self._queues_by_host.get(queue.host, ()):
            if candidate.prefix == queue.prefix:
                return candidate
        namesake = self._queues.get(queue.name)
        if namesake is not None and (
            namesake.pool == queue.pool or queue.pool not in self._pools
        ):
            return namesake
        return None

    def renamed_tenants(
        self, earlier: Iterable[Tenant]
    ) -> dict[TeamId, TeamId]:
        """Return the new names of tenants of earlier configurations.

        A tenant that is gone is continued by the one that has a key of it.
        """
        return {
            tenant.name: self._tenants_by_key[key].name
            for tenant in earlier
            if tenant.name not in self._tenants
            for key in tenant.keys
            if key in self._tenants_by_key
        }

    def pool(self, name: PoolId) -> Pool | None:
        """Return the pool with that name, or None."""
        return self._pools.get(name)

    def tenant(self, name: TeamId) -> Tenant | None:
        """Return the tenant with that name, or None."""
        return self._tenants.get(name)


def find_configuration_fault(
    configuration: Configuration,
) -> ConfigurationFault | None:
    """Return the first reason to reject `configuration`, or None.

    Example:
        >>> queue = Queue("q", "a.example", "/x/", "p", 0, 1, 1.5, 600, True)
        >>> find_configuration_fault(Configuration(1, (queue,))).name
        'UNKNOWN_POOL'
    """
    pools = {pool.name for pool in configuration.pools}
    if any(queue.pool not in pools for queue in configuration.queues):
        return ConfigurationFault.UNKNOWN_POOL
    routes = [(queue.host, queue.prefix) for queue in configuration.queues]
    if len(set(routes)) < len(routes):
        return ConfigurationFault.DUPLICATE_ROUTE
    for entries in (
        configuration.queues,
        configuration.pools,
        configuration.tenants,
    ):
        if len({entry.name for entry in entries}) < len(entries):
            return ConfigurationFault.DUPLICATE_NAME
    owners: dict[str, TeamId] = {}
    for tenant in configuration.tenants:
        for key in tenant.keys:
            if owners.setdefault(key, tenant.name) != tenant.name:
                return ConfigurationFault.DUPLICATE_KEY
    return None
