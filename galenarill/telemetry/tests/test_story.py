"""Tests of the timeline of a request from several logs."""

import json

from galenarill.telemetry import read_log, tell_story


def write(second, vm, event, **fields):
    at = f"2026-01-01T00:00:{second:06.3f}+00:00"
    return json.dumps({"event": event, "vm": vm, "at": at, **fields})


def story(lines, subject="j1", **options):
    read, unreadable = read_log(lines, **options)
    assert not unreadable
    return [(line.vm, line.event) for line in tell_story(read, subject)]


JOB = [
    write(2, "core-1", "job accepted", job="j1"),
    write(3, "core-1", "task placed", job="j1", workers=["w1"]),
    write(5, "core-2", "run ended", job="j1", task="j1.0.0.1", worker="w1"),
]


def test_lines_of_all_processes_come_in_order_of_time():
    gateway = [write(1, "front-1", "request not served", job="j1")]
    assert story(JOB + gateway) == [
        ("front-1", "request not served"),
        ("core-1", "job accepted"),
        ("core-1", "task placed"),
        ("core-2", "run ended"),
    ]


def test_only_what_bears_on_the_job_is_told():
    others = [
        write(1, "core-1", "leading", term=1),
        write(4, "core-2", "leading", term=2),
        write(4, "core-2", "worker does not answer", worker="w1"),
        write(4, "core-2", "worker does not answer", worker="w2"),
        write(4, "core-2", "task placed", job="j2", workers=["w1"]),
        write(4, "core-2", "run ended", job="j11", task="j11.0.0.1"),
    ]
    later = [write(6, "core-2", "worker does not answer", worker="w1")]
    assert story(others + JOB + later) == [
        ("core-1", "job accepted"),
        ("core-1", "task placed"),
        ("core-2", "leading"),
        ("core-2", "worker does not answer"),
        ("core-2", "run ended"),
    ]


def test_a_clock_that_is_set_back_does_not_turn_a_process_around():
    lines = [
        write(9, "core-1", "job accepted", job="j1"),
        write(4, "core-1", "task placed", job="j1"),
        write(8, "core-2", "leading", term=2),
        write(10, "core-2", "run ended", job="j1"),
    ]
    assert story(lines) == [
        ("core-1", "job accepted"),
        ("core-1", "task placed"),
        ("core-2", "run ended"),
    ]


def test_a_clock_that_was_off_can_be_corrected():
    lines = [
        write(7, "front-1", "request not served", job="j1"),
        *JOB,
    ]
    assert story(lines)[-1] == ("front-1", "request not served")
    told = story(lines, shifts={"front-1": -6.0})
    assert told[0] == ("front-1", "request not served")


def test_torn_lines_are_counted_and_foreign_ones_passed_over():
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


def test_an_unknown_request_has_no_story():
    assert story(JOB, "j9") == []
