"""Tests of the `report` command."""

import json

from galenarill.cli.report import report
from galenarill.telemetry.tests.test_report import ACCEPTED, PLACED, line


def test_output_has_the_figures_and_says_what_is_missing(tmp_path, capsys):
    """Guards against sampled or unreadable logs that look complete."""
    file = tmp_path / "core-1.log"
    lines = [
        "core-1 | " + line(0, ACCEPTED),
        line(1, PLACED),
        line(4, "log lines left out", events={PLACED: 3}),
        "plain text of another program",
        '{"event": "torn',
        '{"message": "of another program"}',
    ]
    file.write_text("\n".join(lines))
    report([file])
    out = capsys.readouterr().out
    (row,) = [text for text in out.splitlines() if text.startswith("  all")]
    assert row.split()[1:6] == ["1", "0.0%", "-", "1", "1.000"]
    assert "SAMPLED" in out and "3 'task placed'" in out
    assert "2 unreadable lines" in out
    report([file], json=True)
    record = json.loads(capsys.readouterr().out)
    assert (record["total"]["started"], record["unreadable_lines"]) == (1, 2)


def test_an_empty_log_gives_an_empty_report(tmp_path, capsys):
    """Guards against an error on a log that was rotated just now."""
    file = tmp_path / "core-1.log"
    file.touch()
    report([file])
    assert "orders to move a machine: none" in capsys.readouterr().out
