"""Tests of the figures that are computed from logs."""

from galenarill.telemetry import make_report, read_log
from galenarill.telemetry.tests.test_timeline import log_line


def accepted(at, job, cpu=1000, tenant="t", **fields):
    fields = {
        "queue": "q",
        "tasks": 1,
        "pool": "p",
        "core_seconds": cpu / 1000,
        "objective_seconds": 5.0,
    } | fields
    return log_line(
        at,
        "core-1",
        "job accepted",
        job=job,
        tenant=tenant,
        largest_cpu=cpu,
        **fields,
    )


def placed(at, job, cpu=1000, pool="p", workers=("w",)):
    return log_line(
        at,
        "core-1",
        "task placed",
        job=job,
        workers=list(workers),
        pool=pool,
        cpu=cpu,
    )


def ended(at, job, how="done", run=1, seconds=2.0, cpu=1000, index=0):
    return log_line(
        at,
        "core-1",
        "run ended",
        job=job,
        task=f"{job}.0.0.{index}",
        run=run,
        how=how,
        seconds=seconds,
        cpu=cpu,
    )


def pool_state(at, pool, machines, cpu=0, vm="core-1", **fields):
    return log_line(
        at,
        vm,
        "pool",
        pool=pool,
        machines=machines,
        needed=int(cpu > 0),
        running_cpu=cpu,
        waiting_cpu=0,
        **fields,
    )


def report_of(*lines):
    read, unreadable = read_log(lines)
    assert not unreadable
    return make_report(read)


def test_jobs_are_counted_by_what_became_of_them():
    """Guards against jobs that are counted as ended, or twice."""
    report = report_of(
        accepted(0, "fast"),
        accepted(1, "fast"),
        placed(0.5, "fast"),
        ended(2, "fast"),
        accepted(0, "late"),
        placed(4, "late"),
        ended(6, "late"),
        accepted(0, "half", tasks=2),
        placed(2, "half"),
        ended(3, "half", index=1),
        ended(3.1, "half", index=1),
        accepted(0, "never"),
        accepted(0, "lasting", lasts=True),
        ended(1, "foreign"),
    )
    total = report.total
    assert (total.jobs, total.started, total.ended) == (4, 3, 2)
    assert (total.with_objective, total.in_objective) == (4, 1)
    assert (total.wait_median, total.wait_95) == (2.0, 4.0)
    assert (report.lasting.jobs, report.unknown_jobs) == (1, 1)


def test_lost_work_is_that_of_runs_ended_by_orders_and_leases():
    """Guards against the cancellation of a job that is counted as lost work."""
    report = report_of(
        accepted(0, "j"),
        ended(3, "j", "stopped", run=1, seconds=2.0, cpu=1500),
        ended(4, "j", "lapsed", run=2, seconds=1.0, cpu=1500),
        ended(4, "j", "lapsed", run=2, seconds=1.0, cpu=1500),
        ended(5, "j", "lost", run=3, seconds=2.0, cpu=1500),
        ended(6, "j", "failed", run=4, seconds=9.0, cpu=1500),
        log_line(7, "core-1", "job cancelled", job="j"),
        ended(8, "j", "stopped", run=5, seconds=9.0, cpu=1500),
    )
    assert report.total.lost_to_stops == 3.0
    assert report.total.lost_to_leases == 4.5
    assert report.total.cancelled == 1


def test_groups_are_formed_by_tenant_and_size():
    """Guards against tenants or jobs that are in no group, or in two."""
    lines = []
    for number in range(20):
        cpu = 1000 * (number + 1)
        lines.append(accepted(0, f"j{number}", cpu, f"t{number:02}"))
    lines += [placed(19, "j19"), placed(0, "j0")]
    report = report_of(*lines)
    assert [(row.group, row.jobs) for row in report.by_tenant] == [
        ("largest tenth", 2),
        ("rest", 16),
        ("smallest tenth", 2),
    ]
    assert [(row.group, row.jobs) for row in report.by_size] == [
        ("largest tenth", 2),
        ("next fifth", 4),
        ("rest", 14),
    ]
    for rows in (report.by_tenant, report.by_size):
        assert (rows[0].wait_95, rows[-1].wait_95) == (19.0, 0.0)


def test_overtaking_counts_smaller_tasks_of_the_pool_while_a_job_waits():
    """Guards against counts of equal tasks, of other pools or other times."""
    report = report_of(
        placed(0.5, "early"),
        accepted(1, "large", 4000),
        placed(2, "small", workers=("a", "b")),
        placed(3, "equal", 4000),
        placed(3, "elsewhere", pool="other"),
        placed(4, "small"),
        placed(5, "large", 4000),
        placed(6, "small"),
        *(accepted(0, f"s{number}", 500) for number in range(9)),
    )
    (row,) = report.overtaken
    assert (row.job, row.smaller_tasks, row.wait_seconds) == ("large", 3, 4.0)


def test_machines_without_work_are_summed_over_time():
    """Guards against spare machines counted as idle, and a change of leader."""
    move = {"from": "p", "to": "r"}
    report = report_of(
        pool_state(0, "p", 10, 500),
        pool_state(0, "spare", 5, is_spare=True),
        pool_state(4, "p", 8, vm="core-2"),
        pool_state(7, "p", 8, 500, vm="core-2"),
        log_line(9, "core-2", "machine moved", verdict="done", **move),
        log_line(10, "core-2", "machine moved", verdict="busy", **move),
    )
    pools = {row.pool: row for row in report.pools}
    assert pools["p"].machine_seconds == 40 + 24 + 24
    assert pools["p"].idle_machine_seconds == 24
    assert pools["spare"].idle_machine_seconds == 0
    assert (pools["p"].moved_out, pools["r"].moved_in) == (1, 1)
    assert report.machine_orders == {"done": 1, "busy": 1}


def test_lines_with_odd_fields_are_counted_and_others_ignored():
    """Guards against a foreign line that ends the command with an error."""
    report = report_of(
        accepted(0, "j"),
        accepted(0, ["j"]),
        log_line(0, "core-1", "job accepted", job="j"),
        log_line(0, "core-1", "run ended", job="j", task=1),
        log_line(9, "other", {"name": "job accepted"}),
        log_line(9, "other", ["job accepted"]),
        log_line(9, "other", "unrelated", job="k"),
    )
    assert (report.total.jobs, report.unknown_jobs) == (1, 0)
    assert report.unusable_lines == 5


def test_lines_of_earlier_releases_still_give_counts_and_waits():
    """Guards against older logs that are rejected for missing fields."""
    report = report_of(
        log_line(
            0, "core-1", "job accepted", job="j", queue="q", tenant="", tasks=1
        ),
        log_line(2, "core-1", "task placed", job="j", workers=["w"]),
    )
    assert (report.total.wait_median, report.total.with_objective) == (2.0, 0)
    assert [row.group for row in report.by_size] == ["size not in the log"]


def test_missing_lines_are_added_up():
    """Guards against sampled figures that are shown as complete."""
    left_out = "log lines left out"
    report = report_of(
        log_line(0, "core-1", left_out, events={"task placed": 3}),
        log_line(1, "core-2", left_out, events={"task placed": 4, "x": 1}),
        log_line(1, "core-2", "log lines dropped", count=9),
    )
    assert report.lines_left_out == {"task placed": 7, "x": 1}
    assert (report.lines_dropped, report.is_sampled) == (9, True)
    assert not report_of(accepted(0, "j")).is_sampled
