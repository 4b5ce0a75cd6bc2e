"""Tests of the settings of gateways and coordinators."""

import pytest

from galenarill.errors import SettingsErrorGroup
from galenarill.settings import load_node_settings

REQUIRED = """
vm = "core-1"
ip = "10.0.0.1"
availability_zone = "az-a"
link_port = 7000
metrics_port = 7001
link_secret = "secret"
seeds = []
"""


@pytest.mark.parametrize("value", ["", "12.5", "-1.0", "inf", "nan", '"soon"'])
def test_the_half_life_of_usage_is_off_or_a_number(tmp_path, value):
    """Guards against a changed default, and a leader that fails each round."""
    file = tmp_path / "node.toml"
    line = f"share_half_life_seconds = {value}" if value else ""
    file.write_text(REQUIRED + line)
    if value in ("", "12.5"):
        loaded = load_node_settings(file).share_half_life_seconds
        assert loaded == float(value or 0)
        return
    with pytest.raises(SettingsErrorGroup) as raised:
        load_node_settings(file)
    (error,) = raised.value.exceptions
    assert error.finding.path == "share_half_life_seconds"
