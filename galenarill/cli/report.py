"""Command that reports figures on jobs and machines from logs."""

import dataclasses
import pathlib
from typing import TYPE_CHECKING, Annotated

import cyclopts
import msgspec

from galenarill.cli.logs import read_log_files

if TYPE_CHECKING:
    from galenarill.telemetry import GroupFigures, Report

__all__ = ["report"]

# Jobs of the largest tenth that the text lists; the JSON output has all.
LISTED_JOBS = 10


def report(
    files: Annotated[
        list[pathlib.Path], cyclopts.Parameter(consume_multiple=True)
    ],
    *,
    json: Annotated[bool, cyclopts.Parameter(negative="")] = False,
) -> None:
    """Show figures on jobs and machines from the logs of all processes.

    Shows by queue, tenant and size of the largest task how many jobs ended,
    how long they waited and what they lost; how many smaller tasks overtook
    the largest jobs; and the machines of each pool.

    Example: galenarill report front-1.log core-1.log core-2.log

    Args:
        files: Log files; "-" is standard input.
        json: Print one JSON object instead of text.
    """
    # Imported here because the package also loads the metrics libraries, which
    # would slow down the start of every other command.
    from galenarill.telemetry import make_report

    lines, unreadable = read_log_files(files)
    result = make_report(lines)
    if json:
        record = dataclasses.asdict(result)
        record |= {
            "is_sampled": result.is_sampled,
            "unreadable_lines": unreadable,
        }
        print(msgspec.json.encode(record).decode())
        return
    _print_jobs(result)
    _print_machines(result)
    _print_quality(result, unreadable)


def _print_jobs(result: "Report") -> None:
    print(
        f"{'':32}{'jobs':>7}{'ended':>8}{'in time':>9}{'started':>9}"
        f"{'wait 50%':>10}{'95%':>9}{'stops':>10}{'leases':>10}"
    )
    sections = {
        "jobs": [result.total, result.lasting],
        "by queue": result.by_queue,
        "by tenant": result.by_tenant,
        "by size": result.by_size,
    }
    for title, rows in sections.items():
        print(title)
        for row in rows:
            print(_group_row(row))
    if result.overtaken:
        print("\nmost overtaken jobs of the largest tenth")
        print(f"{'':32}{'cores':>7}{'waited':>9}{'smaller tasks placed':>22}")
    for row in result.overtaken[:LISTED_JOBS]:
        mark = "" if row.has_started else "  not started"
        print(
            f"  {row.job:30}{row.cpu / 1000:7.1f}{row.wait_seconds:9.3f}"
            f"{row.smaller_tasks:22}{mark}"
        )


def _group_row(row: "GroupFigures") -> str:
    share = row.in_objective_share
    in_time = "-" if share is None else f"{share:.1%}"
    return (
        f"  {row.group:30}{row.jobs:7}{row.ended_share:8.1%}{in_time:>9}"
        f"{row.started:9}{_seconds(row.wait_median):>10}"
        f"{_seconds(row.wait_95):>9}{row.lost_to_stops:10.1f}"
        f"{row.lost_to_leases:10.1f}"
    )


def _seconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f}"


def _print_machines(result: "Report") -> None:
    orders = ", ".join(
        f"{count} {verdict}"
        for verdict, count in sorted(result.machine_orders.items())
    )
    print(f"\norders to move a machine: {orders or 'none'}")
    print(f"{'':32}{'in':>7}{'out':>7}{'machine s':>12}{'without work':>14}")
    for row in result.pools:
        print(
            f"  {row.pool:30}{row.moved_in:7}{row.moved_out:7}"
            f"{row.machine_seconds:12.0f}{row.idle_machine_seconds:14.0f}"
        )


def _print_quality(result: "Report", unreadable: int) -> None:
    if result.is_sampled:
        events = ", ".join(
            f"{count} {event!r}"
            for event, count in sorted(result.lines_left_out.items())
        )
        print(
            f"\nSAMPLED: counts are lower bounds and waits may be too long."
            f" Left out by the limiter: {events or 'none'};"
            f" lost by a stalled reader: {result.lines_dropped}"
        )
    if result.unknown_jobs:
        print(f"{result.unknown_jobs} jobs without their acceptance left out")
    if unreadable or result.unusable_lines:
        print(
            f"{unreadable} unreadable lines and {result.unusable_lines} lines"
            " with missing or odd fields passed over"
        )
