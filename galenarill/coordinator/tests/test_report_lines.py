"""Tests that the coordinator's log lines hold what `report` reads."""

from galenarill.coordinator.tests.request_cluster import (
    RequestCluster,
    make_queue,
)
from galenarill.jobs import Step
from galenarill.routing import Resources
from galenarill.telemetry import LogLine, make_report


def test_a_job_that_completes_is_reported_with_its_size(caplog):
    """Guards against a renamed or missing field, which leaves figures empty."""
    caplog.set_level("INFO")
    cluster = RequestCluster(seconds_of=lambda task, run: (1.0, "done"))
    cluster.configure(make_queue("q", "/a/"))
    cluster.submit(
        "j",
        Step(2, Resources(1), estimate_ms=1000),
        Step(1, Resources(2), estimate_ms=500, depends_on=(0,)),
    )
    cluster.simulation.advance(5)
    cluster.simulation.close()
    records = [vars(record) for record in caplog.records]
    report = make_report(
        LogLine(record["created"], "core-1", record["msg"], record)
        for record in records
    )
    assert report.unusable_lines == 0
    assert (report.total.jobs, report.total.ended) == (1, 1)
    assert (report.total.with_objective, report.total.started) == (1, 1)
    (row,) = report.overtaken
    assert (row.pool, row.cpu) == ("pool", 2)
    (accepted,) = [r for r in records if r["msg"] == "job accepted"]
    assert accepted["objective_seconds"] == 1.5 * 1.5 + 0.6
    assert accepted["core_seconds"] == 0.003
    (last,) = [r for r in records if r["msg"] == "task placed" if r["cpu"] == 2]
    assert (last["pool"], last["estimate_ms"]) == ("pool", 500)
    assert {r["cpu"] for r in records if r["msg"] == "run ended"} == {1, 2}
