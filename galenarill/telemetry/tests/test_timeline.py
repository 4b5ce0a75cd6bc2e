"""Tests of the timeline of a request from several logs."""

import json

from galenarill.telemetry import read_log, request_timeline


def log_line(second, vm, event, **fields):
    at = f"2026-01-01T00:00:{second:06.3f}+00:00"
    return json.dumps({"event": event, "vm": vm, "at": at, **fields})


def timeline(lines, correlation_id="j1", **options):
    read, unreadable = read_log(lines, **options)
    assert not unreadable
    return [
        (line.vm, line.event) for line in request_timeline(read, correlation_id)
    ]


JOB = [
    log_line(2, "core-1", "job accepted", job="j1"),
    log_line(3, "core-1", "task placed", job="j1", workers=["w1"]),
    log_line(5, "core-2", "run ended", job="j1", task="j1.0.0.1", worker="w1"),
]


def test_lines_of_all_processes_are_ordered_by_time():
    gateway = [log_line(1, "front-1", "request not served", job="j1")]
    assert timeline(JOB + gateway) == [
        ("front-1", "request not served"),
        ("core-1", "job accepted"),
        ("core-1", "task placed"),
        ("core-2", "run ended"),
    ]


def test_only_lines_that_concern_the_job_are_included():
    others = [
        log_line(1, "core-1", "leading", term=1),
        log_line(4, "core-2", "leading", term=2),
        log_line(4, "core-2", "worker does not answer", worker="w1"),
        log_line(4, "core-2", "worker does not answer", worker="w2"),
        log_line(4, "core-2", "task placed", job="j2", workers=["w1"]),
        log_line(4, "core-2", "run ended", job="j11", task="j11.0.0.1"),
    ]
    later = [log_line(6, "core-2", "worker does not answer", worker="w1")]
    assert timeline(others + JOB + later) == [
        ("core-1", "job accepted"),
        ("core-1", "task placed"),
        ("core-2", "leading"),
        ("core-2", "worker does not answer"),
        ("core-2", "run ended"),
    ]


def test_clock_set_back_does_not_reorder_lines_of_a_vm():
    lines = [
        log_line(9, "core-1", "job accepted", job="j1"),
        log_line(4, "core-1", "task placed", job="j1"),
        log_line(8, "core-2", "leading", term=2),
        log_line(10, "core-2", "run ended", job="j1"),
    ]
    assert timeline(lines) == [
        ("core-1", "job accepted"),
        ("core-1", "task placed"),
        ("core-2", "run ended"),
    ]


def test_clock_offset_is_corrected():
    lines = [
        log_line(7, "front-1", "request not served", job="j1"),
        *JOB,
    ]
    assert timeline(lines)[-1] == ("front-1", "request not served")
    corrected = timeline(lines, clock_offsets={"front-1": -6.0})
    assert corrected[0] == ("front-1", "request not served")


def test_truncated_lines_are_counted_and_foreign_lines_ignored():
    lines = [
        JOB[0][:-9],
        "Traceback",
        "",
        '{"event": 1}',
        "12.3 core-1 " + JOB[0],
    ]
    read, unreadable = read_log(lines)
    assert [line.event for line in read] == ["job accepted"]
    assert unreadable == 2


def test_unknown_request_has_empty_timeline():
    assert timeline(JOB, "j9") == []
