"""Tests of the settings of gateways and coordinators."""

import pytest

from galenarill.errors import SettingsErrorGroup
from galenarill.settings import load_node_settings

SETTINGS = """
vm = "core-1"
ip = "10.0.0.1"
availability_zone = "az-a"
link_port = 7000
metrics_port = 7001
link_secret = "secret"
seeds = ["10.0.0.2:7000"]
"""


def load(folder, text=""):
    file = folder / "node.toml"
    file.write_text(SETTINGS + text)
    return load_node_settings(file)


def test_past_usage_counts_only_if_a_half_life_is_set(tmp_path):
    """Guards against another order of tenants in earlier deployments."""
    assert load(tmp_path).share_half_life_seconds == 0
    text = "share_half_life_seconds = 12.5"
    assert load(tmp_path, text).share_half_life_seconds == 12.5


@pytest.mark.parametrize("value", ["-1.0", "inf", "nan", '"soon"'])
def test_an_unusable_half_life_is_a_fault(tmp_path, value):
    """Guards against a leader that fails in each placement round."""
    with pytest.raises(SettingsErrorGroup) as raised:
        load(tmp_path, f"share_half_life_seconds = {value}")
    (error,) = raised.value.exceptions
    assert error.finding.path == "share_half_life_seconds"
