"""Tests of merging, validating and fuzzing settings files."""

import pathlib
import tempfile

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from galenarill.errors import SettingsErrorGroup
from galenarill.settings import (
    NodeSettings,
    load_process_settings,
    load_settings,
    node,
)

BASE = """
[pools.render]
max_unavailable = 1

[teams.red]
share = 2
upper_limit = 10

[queues.render]
pool = "render"
"""


@pytest.fixture
def folder():
    with tempfile.TemporaryDirectory(prefix="galenarill-") as name:
        yield pathlib.Path(name)


def _load(folder, base, overlay=None):
    (folder / "base.toml").write_text(base)
    if overlay is None:
        return load_settings(folder / "base.toml")
    (folder / "site.toml").write_text(overlay)
    return load_settings(folder / "base.toml", folder / "site.toml")


def _load_findings(folder, base, overlay=None):
    with pytest.raises(SettingsErrorGroup) as caught:
        _load(folder, base, overlay)
    return [error.finding for error in caught.value.exceptions]


def test_overlay_states_only_differences(folder):
    loaded = _load(folder, BASE, "[teams.red]\nshare = 3\n")
    assert loaded.settings.teams["red"].share == 3
    assert loaded.settings.teams["red"].upper_limit == 10
    origin = loaded.origins["teams", "red", "share"]
    assert (pathlib.Path(origin.file).name, origin.line) == ("site.toml", 2)


def test_restated_value_is_a_finding(folder):
    (finding,) = _load_findings(folder, BASE, "\n[teams.red]\nshare = 2\n")
    assert finding.line == 3
    assert "restates" in finding.text


def test_every_fault_is_reported_with_file_and_line(folder):
    findings = _load_findings(
        folder,
        BASE + '\n[teams.blue]\nshare = "many"\ncolour = 1\n',
        "[queues.proofs]\nopen = 1\n",
    )
    found = {(f.path, pathlib.Path(f.file).name, f.line) for f in findings}
    assert ("teams.blue.share", "base.toml", 13) in found
    assert ("teams.blue.colour", "base.toml", 14) in found
    assert ("queues.proofs.open", "site.toml", 2) in found
    assert any(path == "queues.proofs.pool" for path, _, _ in found)


@pytest.mark.parametrize(
    ("text", "path"),
    [
        ("[teams.red]\nshare = 0\nupper_limit = 1", "teams.red.share"),
        ("[teams.red]\nshare = 1", "teams.red"),
        ("[teams.red]\nshare = nan\nupper_limit = 1", "teams.red.share"),
        ("[queues.q]\npool = 'none'", "queues.q.pool"),
        ("[pools.p]\nmax_unavailable = -1", "pools.p.max_unavailable"),
        ("[teams.'a b']\nshare = 1\nupper_limit = 1", "teams.a b"),
        (
            "[teams.a]\nshare=1\n[teams.a.contract]\n"
            "unit='u'\nunit_version=1\nlimit=2",
            "teams.a.contract.unit",
        ),
    ],
)
def test_invalid_value_is_a_finding(folder, text, path):
    findings = _load_findings(folder, text)
    assert [finding.path for finding in findings] == [path]


def test_syntax_error_names_the_line(folder):
    (finding,) = _load_findings(folder, "[teams.red]\nshare = = 2\n")
    assert finding.line == 2


def test_missing_file_is_a_finding(folder):
    with pytest.raises(SettingsErrorGroup):
        load_settings(folder / "nothing.toml")


toml_lines = st.lists(
    st.sampled_from(
        [
            "[teams.red]",
            "[vms.v]",
            "[pools.p]",
            "share = 1",
            "share = -1e400",
            "upper_limit = 9999999999999999999999",
            "upper_limit = true",
            "pool = []",
            "rack = {}",
            'rack = "r"',
            "[[units.u]]",
            "version = 1",
            "processors = 0.1",
            "=",
            "\x00",
        ]
    )
    | st.text(max_size=20),
    max_size=8,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(toml_lines)
def test_whatever_stands_in_a_file_gives_findings(lines):
    with tempfile.TemporaryDirectory(prefix="galenarill-") as name:
        path = pathlib.Path(name) / "base.toml"
        text = "\n".join(lines)
        path.write_text(text, encoding="utf-8", errors="surrogatepass")
        try:
            load_settings(path)
        except SettingsErrorGroup as group:
            assert group.exceptions


def test_process_settings_collect_findings(folder):
    path = folder / "entry.toml"
    path.write_text(
        'vm = "e9"\nlink_secret_file = "x"\noperators_file = "y"\n'
        "[[entry_vms]]\n"
        'id = "e1"\navailability_zone = "a"\nlinks = "nowhere"\n'
        'callers = "127.0.0.1:1"\n'
    )
    with pytest.raises(SettingsErrorGroup) as caught:
        load_process_settings(path)
    paths = [error.finding.path for error in caught.value.exceptions]
    assert paths == ["vm", "entry_vms", "entry_vms.e1.links"]


@pytest.mark.parametrize("value", [0.5, -1, float("nan")])
def test_a_lateness_that_rejects_jobs_in_time_is_a_finding(value):
    """Guards against rejections before the objective has passed."""
    settings = NodeSettings(
        **dict.fromkeys(("vm", "ip", "availability_zone", "link_secret"), ""),
        **{"link_port": 1, "metrics_port": 1, "seeds": []},
        useful_lateness=value,
    )
    assert [key for key, _ in node._find_faults(settings)] == [
        "useful_lateness"
    ]
