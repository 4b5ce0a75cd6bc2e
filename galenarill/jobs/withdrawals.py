"""Ids of jobs that were cancelled before they were accepted."""

from galenarill.common import JobId, TeamId

__all__ = ["WithdrawnJobs", "MAX_WITHDRAWN_PER_TENANT"]

# Number of withdrawn ids that are kept for each tenant. At the retention of
# ended jobs it allows over ten of these cancellations a second.
MAX_WITHDRAWN_PER_TENANT = 2000


class WithdrawnJobs:
    """Ids that may no longer be submitted, by queue and tenant.

    A submission may be delayed until after the job was cancelled. It is
    recognized by the id that the cancellation has left here.

    Attributes:
        times: When each id was withdrawn, Unix seconds, by the host and prefix
            of its queue and by tenant.
    """

    def __init__(
        self, times: dict[tuple[str, str], dict[TeamId, dict[JobId, float]]]
    ):
        """Take over the content of a snapshot, which may be empty."""
        self.times = times

    @property
    def tenants(self) -> set[TeamId]:
        """Tenants that have withdrawn jobs."""
        return {tenant for owners in self.times.values() for tenant in owners}

    def can_add(
        self, job: JobId, path: tuple[str, str], tenant: TeamId
    ) -> bool:
        """Return whether an id is kept already, or is within the limit."""
        if job in self.times.get(path, {}).get(tenant, ()):
            return True
        count = sum(
            len(owners.get(tenant, ())) for owners in self.times.values()
        )
        return count < MAX_WITHDRAWN_PER_TENANT

    def add(
        self, job: JobId, path: tuple[str, str], tenant: TeamId, at: float
    ) -> None:
        """Withdraw an id, unless those of the tenant are at their limit.

        Args:
            job: Id of the job.
            path: Host and prefix of the queue.
            tenant: Tenant, or "" for a caller without a key.
            at: Time of the cancellation, Unix seconds.
        """
        if not self.can_add(job, path, tenant):
            return
        jobs = self.times.setdefault(path, {}).setdefault(tenant, {})
        jobs[job] = max(at, jobs.get(job, at))

    def covers(self, job: JobId, path: tuple[str, str], tenant: TeamId) -> bool:
        """Return whether a caller has withdrawn an id.

        As with accepted jobs, a caller without a key shares the jobs of all
        tenants of the queue.
        """
        owners = self.times.get(path, {})
        candidates = (tenant, TeamId("")) if tenant else owners
        return any(job in owners.get(owner, ()) for owner in candidates)

    def forget_before(self, limit: float) -> None:
        """Forget the ids that were withdrawn before a time, Unix seconds."""
        for path, owners in list(self.times.items()):
            for tenant, jobs in list(owners.items()):
                owners[tenant] = {
                    job: at for job, at in jobs.items() if at >= limit
                }
                if not owners[tenant]:
                    del owners[tenant]
            if not owners:
                del self.times[path]

    def has_any_before(self, limit: float) -> bool:
        """Return whether an id was withdrawn before a time, Unix seconds."""
        return any(
            at < limit
            for owners in self.times.values()
            for jobs in owners.values()
            for at in jobs.values()
        )

    def rename_tenants(self, renamed: dict[TeamId, TeamId]) -> None:
        """Assign the ids of renamed tenants to their new names."""
        for owners in self.times.values():
            for tenant in renamed.keys() & owners.keys():
                jobs = owners.setdefault(renamed[tenant], {})
                for job, at in owners.pop(tenant).items():
                    jobs[job] = max(at, jobs.get(job, at))
