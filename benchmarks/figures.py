"""Output format, statistics and process metrics of the benchmarks."""

import statistics
from collections.abc import Sequence

__all__ = ["print_result", "quantile", "process_usage", "ProcessUsage"]

import dataclasses
import os
import pathlib

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def print_result(name: str, value: float, unit: str) -> None:
    """Print one result as a line `name value unit`."""
    print(f"{name} {value:.4g} {unit}", flush=True)


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the value below which `fraction` of `values` lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def median(values: Sequence[float]) -> float:
    """Return the median of `values`."""
    return statistics.median(values)


@dataclasses.dataclass(frozen=True)
class ProcessUsage:
    """Resource usage of a process at one moment.

    Attributes:
        cpu_seconds: CPU time since the process started, user and system.
        memory_mib: Resident set size, in MiB.
    """

    cpu_seconds: float
    memory_mib: float


def process_usage(pid: int) -> ProcessUsage:
    """Return the usage of a process, read from /proc."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    ticks = int(fields[11]) + int(fields[12])
    return ProcessUsage(
        ticks / CLOCK_TICKS, pages * os.sysconf("SC_PAGE_SIZE") / 2**20
    )
