"""Tests of the figures that are computed from logs."""

from galenarill.telemetry import make_report, read_log
from galenarill.telemetry.tests.test_timeline import log_line

ACCEPTED, PLACED, ENDED = "job accepted", "task placed", "run ended"
SIZE = {"pool": "p", "largest_cpu": 1000, "core_seconds": 1.0}
DEFAULTS = {
    ACCEPTED: {"queue": "q", "tenant": "t", "tasks": 1} | SIZE,
    PLACED: {"workers": ["w"], "pool": "p", "cpu": 1000},
    ENDED: {"task": "0", "run": 1, "how": "done", "seconds": 2.0, "cpu": 1500},
    "pool": {"pool": "p", "machines": 8, "needed": 0, "waiting_cpu": 0},
    "machine moved": {"from": "p", "to": "r"},
}


def line(at, event, job="j", **fields):
    fields = {"job": job, **DEFAULTS.get(event, {}), **fields}
    return log_line(at, "core-1", event, **fields)


def report_of(*lines):
    read, unreadable = read_log(lines)
    assert not unreadable
    return make_report(read)


def test_jobs_are_counted_by_what_became_of_them():
    """Guards against jobs that are counted as ended, or twice."""
    in_5_s = {"objective_seconds": 5.0}
    report = report_of(
        line(0, ACCEPTED, "fast", **in_5_s),
        line(1, ACCEPTED, "fast", **in_5_s),
        line(0.5, PLACED, "fast"),
        line(2, ENDED, "fast"),
        line(0, ACCEPTED, "late", **in_5_s),
        line(4, PLACED, "late"),
        line(6, ENDED, "late"),
        line(0, ACCEPTED, "half", tasks=2),
        line(2, PLACED, "half"),
        line(3, ENDED, "half"),
        line(4, ENDED, "half", run=2),
        line(0, ACCEPTED, "lasting", lasts=True),
        line(1, ENDED, "unknown"),
    )
    total = report.total
    assert (total.jobs, total.started, total.ended) == (3, 3, 2)
    assert (total.with_objective, total.in_objective) == (2, 1)
    assert (total.wait_median, total.wait_95) == (2.0, 4.0)
    assert (report.lasting.jobs, report.unknown_jobs) == (1, 1)


def test_lost_work_is_that_of_runs_ended_by_orders_and_leases():
    """Guards against the cancellation of a job that is counted as lost work."""
    total = report_of(
        line(0, ACCEPTED),
        line(3, ENDED, how="stopped"),
        line(4, ENDED, how="lapsed", run=2),
        line(4, ENDED, how="lapsed", run=2),
        line(5, ENDED, how="lost", run=3, seconds=1.0),
        line(6, ENDED, how="failed", run=4),
        line(7, "job cancelled"),
        line(8, ENDED, how="stopped", run=5),
    ).total
    assert (total.lost_to_stops, total.lost_to_leases) == (3.0, 4.5)


def test_groups_by_tenant_and_size_have_each_job_once():
    """Guards against tenants or jobs that are in no group, or in two."""
    report = report_of(
        *(
            line(0, ACCEPTED, f"j{n}", tenant=f"t{n}", largest_cpu=n, tasks=n)
            for n in range(1, 21)
        ),
        line(19, PLACED, "j20"),
        line(0, PLACED, "j1"),
    )
    assert [row.jobs for row in report.by_tenant] == [2, 16, 2]
    assert [row.jobs for row in report.by_size] == [2, 4, 14]
    for rows in (report.by_tenant, report.by_size):
        assert (rows[0].wait_95, rows[-1].wait_95) == (19.0, 0.0)


def test_overtaking_counts_smaller_tasks_of_the_pool_while_a_job_waits():
    """Guards against counts of equal tasks, of other pools or other times."""
    (row,) = report_of(
        line(0.5, PLACED, "small"),
        line(1, ACCEPTED, "large", largest_cpu=4000),
        line(2, PLACED, "small", workers=["a", "b"]),
        line(3, PLACED, "equal", cpu=4000),
        line(3, PLACED, "elsewhere", pool="other"),
        line(4, PLACED, "small"),
        line(5, PLACED, "large", cpu=4000),
        line(6, PLACED, "small"),
    ).overtaken
    assert (row.job, row.smaller_tasks, row.wait_seconds) == ("large", 3, 4.0)


def test_machines_without_work_are_summed_over_time():
    """Guards against spare machines that are counted as idle."""
    report = report_of(
        line(0, "pool", machines=10, running_cpu=500),
        line(0, "pool", pool="spare", is_spare=True, running_cpu=0),
        line(4, "pool", running_cpu=0),
        line(7, "pool", running_cpu=500),
        line(9, "machine moved", verdict="done"),
        line(10, "machine moved", verdict="busy"),
    )
    p, r, spare = report.pools
    assert (p.machine_seconds, p.idle_machine_seconds) == (40 + 24 + 24, 24)
    assert (p.moved_out, r.moved_in, spare.idle_machine_seconds) == (1, 1, 0)
    assert report.machine_orders == {"done": 1, "busy": 1}


def test_lines_that_are_foreign_or_missing_are_counted():
    """Guards against an error on a foreign line, and unmarked samples."""
    report = report_of(
        line(0, ACCEPTED),
        line(0, ACCEPTED, ["j"]),
        log_line(0, "core-1", ENDED, job="j", task=1),
        log_line(9, "other", {"name": ACCEPTED}),
        log_line(9, "other", "unrelated", job="k"),
        line(0, "log lines left out", events={PLACED: 3}),
        line(1, "log lines left out", events={PLACED: 4, "x": 1}),
        line(1, "log lines dropped", count=9),
    )
    assert (report.total.jobs, report.unknown_jobs) == (1, 0)
    assert report.unusable_lines == 3
    assert report.lines_left_out == {PLACED: 7, "x": 1}
    assert (report.lines_dropped, report.is_sampled) == (9, True)
    assert not report_of(line(0, ACCEPTED)).is_sampled


def test_lines_of_earlier_releases_still_give_counts_and_waits():
    """Guards against older logs that are rejected for missing fields."""
    fields = {"job": "j", "queue": "q", "tenant": "", "tasks": 1}
    report = report_of(
        log_line(0, "core-1", ACCEPTED, **fields),
        log_line(2, "core-1", PLACED, job="j", workers=["w"]),
    )
    assert (report.total.wait_median, report.total.with_objective) == (2.0, 0)
    assert [row.group for row in report.by_size] == ["size not in the log"]
