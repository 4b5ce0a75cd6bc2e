"""Command that validates a deployment before its rollout."""

import pathlib
from typing import Annotated

import cyclopts

from galenarill.errors import SettingsErrorGroup

__all__ = ["check"]


def check(
    deploy_file: pathlib.Path = pathlib.Path("deploy/system.toml"),
    *,
    settings: Annotated[
        list[pathlib.Path], cyclopts.Parameter(negative="")
    ] = (),
) -> None:
    """Check a deploy file, its templates and process settings.

    Reports the faults of all files together. The exit code is 2 if there is
    any fault.

    Example: galenarill check deploy/system.toml --settings node.toml

    Args:
        deploy_file: Deploy file to check.
        settings: Settings file of a gateway or coordinator, also checked.
    """
    from galenarill.platform.deployment import check_deployment
    from galenarill.settings import load_node_settings

    errors, checked = [], []
    try:
        checked += check_deployment(deploy_file)
    except SettingsErrorGroup as group:
        errors += group.exceptions
    for file in settings:
        try:
            load_node_settings(file)
            checked.append(file)
        except SettingsErrorGroup as group:
            errors += group.exceptions
    if errors:
        raise SettingsErrorGroup(f"{len(errors)} faults", errors)
    print("ok:", *checked)
