"""Tests of the `trace` command."""

import io
import json

import pytest

from galenarill.cli.trace import trace
from galenarill.errors import GalenarillError


def write_log(folder, name, *events):
    file = folder / name
    lines = [
        json.dumps(
            {
                "event": event,
                "vm": name,
                "at": f"2026-01-01T00:00:0{second}+00:00",
                "job": "j1",
                "task": [0, 0, second],
            }
        )
        for second, event in events
    ]
    file.write_text("\n".join([*lines, '{"event": "torn']) + "\n")
    return file


def test_lines_of_several_files_are_shown_with_relative_times(tmp_path, capsys):
    core = write_log(
        tmp_path, "core-1", (3, "job accepted"), (5, "task placed")
    )
    front = write_log(tmp_path, "front-1", (1, "request not served"))
    trace("j1", [core, front])
    out, err = capsys.readouterr()
    assert [line.split()[:2] for line in out.splitlines()] == [
        ["+0.000", "front-1"],
        ["+2.000", "core-1"],
        ["+4.000", "core-1"],
    ]
    assert "task=0,0,5" in out
    assert err == "2 unreadable lines passed over\n"


def test_json_output_with_corrected_clock(tmp_path, capsys):
    front = write_log(tmp_path, "front-1", (1, "request not served"))
    trace("j1", [front], shift=["front-1=1.5"], json=True)
    record = json.loads(capsys.readouterr().out)
    assert record["at"] == "2026-01-01T00:00:02.500000+00:00"
    assert record["job"] == "j1"


def test_standard_input_is_read(monkeypatch, capsys, tmp_path):
    text = write_log(tmp_path, "core-1", (3, "job accepted")).read_text()
    monkeypatch.setattr("sys.stdin", io.StringIO(text))
    trace("j1", ["-"])
    assert "job accepted" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("request_id", "file", "shift", "text"),
    [
        ("j9", "core-1", [], "no line in 1 names 'j9'"),
        ("j1", "nothing", [], "cannot read"),
        ("j1", "core-1", ["core-1"], "must be VM=SECONDS"),
        ("j1", "core-1", ["=2"], "must be VM=SECONDS"),
    ],
)
def test_unusable_arguments_raise_an_error(
    tmp_path, request_id, file, shift, text
):
    write_log(tmp_path, "core-1", (3, "job accepted"))
    with pytest.raises(GalenarillError, match=text):
        trace(request_id, [tmp_path / file], shift=shift)
