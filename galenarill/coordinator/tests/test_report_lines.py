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
    cluster.submit("j", Step(2, Resources(1), 1000), Step(1, Resources(2), 500))
    cluster.simulation.advance(5)
    cluster.simulation.close()
    records = [vars(record) for record in caplog.records]
    report = make_report(
        LogLine(record["created"], "core-1", record["msg"], record)
        for record in records
    )
    assert (report.unusable_lines, report.total.ended) == (0, 1)
    (row,) = report.overtaken
    assert (row.pool, row.cpu, row.has_started) == ("pool", 2, True)
    by_event = {record["msg"]: record for record in records}
    assert by_event["job accepted"]["objective_seconds"] == 1.5 * 1.0 + 0.6
    assert by_event["job accepted"]["core_seconds"] == 0.003
    placed = [record for record in records if record["msg"] == "task placed"]
    sizes = {(r["pool"], r["cpu"], r["estimate_ms"]) for r in placed}
    assert sizes == {("pool", 1, 1000), ("pool", 2, 500)}
    assert by_event["run ended"]["cpu"] in (1, 2)
