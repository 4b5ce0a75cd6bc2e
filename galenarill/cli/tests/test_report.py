"""Tests of the `report` command."""

import json

from galenarill.cli.report import report
from galenarill.telemetry.tests.test_report import accepted, ended, placed
from galenarill.telemetry.tests.test_timeline import log_line


def write_log(folder):
    lines = [
        "core-1 | " + accepted(0, "j1"),
        placed(1, "j1"),
        ended(3, "j1"),
        log_line(4, "core-1", "log lines left out", events={"task placed": 3}),
        "plain text of another program",
        '{"event": "torn',
        '{"message": "of another program"}',
    ]
    file = folder / "core-1.log"
    file.write_text("\n".join(lines))
    return file


def test_text_names_the_groups_and_says_that_lines_are_missing(
    tmp_path, capsys
):
    """Guards against sampled or unreadable logs that look complete."""
    report([write_log(tmp_path)])
    out = capsys.readouterr().out
    (row,) = [line for line in out.splitlines() if line.startswith("  all")]
    assert row.split()[1:6] == ["1", "100.0%", "100.0%", "1", "1.000"]
    assert "SAMPLED" in out and "3 'task placed'" in out
    assert "2 unreadable lines" in out


def test_json_output_has_the_same_figures(tmp_path, capsys):
    report([write_log(tmp_path)], json=True)
    record = json.loads(capsys.readouterr().out)
    assert record["total"]["ended"] == 1
    assert record["unreadable_lines"] == 2
    assert record["is_sampled"]


def test_an_empty_log_gives_an_empty_report(tmp_path, capsys):
    """Guards against an error on a log that was rotated just now."""
    file = tmp_path / "core-1.log"
    file.write_text("")
    report([file])
    assert "orders to move a machine: none" in capsys.readouterr().out
