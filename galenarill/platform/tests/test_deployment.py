"""Tests of the deploy file and its settings template."""

import pathlib
import re
import tomllib

import pytest

from galenarill.errors import SettingsErrorGroup
from galenarill.platform.deployment import check_deployment

ROOT = pathlib.Path(__file__).parents[3]
ROLE = """
[roles.gateway]
run = "python3 -m galenarill gateway"
on = "front"
share = 1.0
serves = ["front"]
template = "deploy/settings.toml"
"""


def write_deployment(folder, role=ROLE, template=None):
    (folder / "deploy").mkdir()
    file = folder / "deploy/system.toml"
    file.write_text(f'build = "true"\n{role}')
    if template is None:
        template = (ROOT / "deploy/settings.toml").read_text()
    (folder / "deploy/settings.toml").write_text(template)
    return file


def faults_of(file):
    with pytest.raises(SettingsErrorGroup) as raised:
        check_deployment(file)
    return [error.finding.path for error in raised.value.exceptions]


def test_own_deployment_is_valid():
    checked = check_deployment(ROOT / "deploy/system.toml")
    assert [file.name for file in checked] == ["system.toml", "settings.toml"]


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        ("galenarill gateway", "galenarill gatewy", "roles.gateway.run"),
        ("python3 -m galenarill gateway", "./run.sh", "roles.gateway.run"),
        ('on = "front"', "on = 3", "roles.gateway.on"),
        ("share = 1.0", "share = 1.5", "roles.gateway.share"),
        ("share = 1.0", "share = true", "roles.gateway.share"),
        ("share = 1.0", "count = 0", "roles.gateway.count"),
        ("share = 1.0", "share = 0.5\ncount = 1", "roles.gateway.share"),
        ('["front"]', '["back"]', "roles.gateway.serves"),
        ('["front"]', '["front"]\nmetrics = "7001"', "roles.gateway.metrics"),
        ("settings.toml", "nothing.toml", ""),
    ],
)
def test_invalid_role_is_reported_with_its_path(tmp_path, old, new, path):
    file = write_deployment(tmp_path, ROLE.replace(old, new))
    assert faults_of(file) == [path]


def test_roles_of_one_class_do_not_share_an_audience(tmp_path):
    other = ROLE.replace("roles.gateway", "roles.other")
    assert faults_of(write_deployment(tmp_path, ROLE + other)) == ["roles"]


def test_template_sets_each_required_setting_once(tmp_path):
    template = (ROOT / "deploy/settings.toml").read_text()
    template = template.replace("vm = ", "vn = ") + 'ip = "{{ip}"\n'
    assert sorted(faults_of(write_deployment(tmp_path, template=template))) == [
        "",
        "ip",
        "vm",
        "vn",
    ]


def test_malformed_toml_is_a_single_fault(tmp_path):
    assert faults_of(write_deployment(tmp_path, "[roles")) == [""]


def test_a_section_that_is_not_closed_is_reported(tmp_path):
    template = (ROOT / "deploy/settings.toml").read_text()
    file = write_deployment(tmp_path, template=template.replace("{{/", "{{"))
    assert faults_of(file) == [""]


def test_zones_of_the_template_are_a_list_of_names():
    """Guards against a template that renders to malformed TOML."""
    template = (ROOT / "deploy/settings.toml").read_text()
    (line,) = re.findall("^zones = .*$", template, re.MULTILINE)
    begin, entry, end = re.fullmatch(
        r"(.*)\{\{#zones\}\}(.*)\{\{/zones\}\}(.*)", line
    ).groups()
    for zones in ([], ["a"], ["a", "eu-1b"]):
        entries = [
            entry.replace("{{@}}", zone).replace(
                "{{,}}", "," if zone != zones[-1] else ""
            )
            for zone in zones
        ]
        rendered = begin + "".join(entries) + end
        assert tomllib.loads(rendered) == {"zones": zones}
