"""Settings of one process on a platform that hands them out."""

import dataclasses
import pathlib

from galenarill.settings.loading import load_checked
from galenarill.world import VmId

__all__ = ["NodeSettings", "load_node_settings"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Settings of one `galenarill gateway` or `galenarill coordinator`.

    Attributes:
        vm: Name of this VM.
        ip: Its address.
        availability_zone: Its zone.
        link_port: Port for links between processes, the same on every VM.
        metrics_port: Port of the metrics page.
        link_secret: Secret that the processes share.
        seeds: `host:port` of some coordinators.
        forms_log: Whether the seeds may form a new log.
        data_folder: Folder of the replicated log, or "".
        callers: `host:port` for callers, or "".
        readiness: `host:port` for the balancer's question, or "".
        control: `host:port` for workers and operators, or "".
        machines: `host:port` of the platform's machine interface, or "".
        advice: `host:port` of the policy service, or "".
        replaceable_voters: Voters that may be lost at the same time.
        keep_job_seconds: How long an ended job can be asked for.
        grace_seconds: Time from SIGTERM to SIGKILL.
        machine_lease_ms: Time for which one process alone orders a
            machine.
        move_seconds: Time that a move takes a machine.
        away_notice_ms: Time for which a task that was away still counts
            against its step's budget.
    """

    vm: str
    ip: str
    availability_zone: str
    link_port: int
    metrics_port: int
    link_secret: str
    seeds: list[str]
    forms_log: bool = False
    data_folder: str = ""
    callers: str = ""
    readiness: str = ""
    control: str = ""
    machines: str = ""
    advice: str = ""
    replaceable_voters: int = 1
    keep_job_seconds: float = 120.0
    grace_seconds: float = 6.0
    machine_lease_ms: float = 3000.0
    move_seconds: float = 1.5
    away_notice_ms: float = 4500.0

    @property
    def link_address(self) -> VmId:
        """Address of this process's links, which is also its id."""
        return VmId(f"{self.ip}:{self.link_port}")

    @property
    def seed_links(self) -> frozenset[VmId]:
        """Link addresses of the seeds."""
        return frozenset(
            VmId(f"{seed.rpartition(':')[0]}:{self.link_port}")
            for seed in self.seeds
        )


def load_node_settings(file: pathlib.Path) -> NodeSettings:
    """Read and check the settings of one process.

    Args:
        file: TOML file.

    Returns:
        The settings.

    Raises:
        SettingsFindings: Every fault.
    """
    return load_checked(file, NodeSettings, _find_faults)


def _find_faults(settings: NodeSettings) -> list[tuple[str, str]]:
    faults = []
    for key in ("callers", "readiness", "control", "machines", "advice"):
        value = getattr(settings, key)
        if value and not _is_address(value):
            faults.append((key, f"must be host:port, not {value!r}"))
    for seed in settings.seeds:
        if not _is_address(seed):
            faults.append(("seeds", f"must be host:port, not {seed!r}"))
    for key in ("link_port", "metrics_port"):
        value = getattr(settings, key)
        if not 0 < value < 65536:
            faults.append((key, f"must be a port, not {value}"))
    if settings.replaceable_voters < 0:
        faults.append(("replaceable_voters", "must not be negative"))
    return faults


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit()
