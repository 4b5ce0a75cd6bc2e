"""The command that checks a deployment before it is rolled out."""

import pathlib
from typing import Annotated

import cyclopts

from galenarill.errors import SettingsFindings

__all__ = ["check"]


def check(
    deploy_file: pathlib.Path = pathlib.Path("deploy/system.toml"),
    *,
    settings: Annotated[
        list[pathlib.Path], cyclopts.Parameter(negative="")
    ] = (),
) -> None:
    """Check a deploy file, its templates and settings of processes.

    Reports every fault of all files at once; exits with 2 if there is one.

    Example: galenarill check deploy/system.toml --settings node.toml

    Args:
        deploy_file: Deploy file.
        settings: Settings of a gateway or coordinator.
    """
    from galenarill.platform.deployment import check_deployment
    from galenarill.settings import load_node_settings

    errors, checked = [], []
    try:
        checked += check_deployment(deploy_file)
    except SettingsFindings as group:
        errors += group.exceptions
    for file in settings:
        try:
            load_node_settings(file)
            checked.append(file)
        except SettingsFindings as group:
            errors += group.exceptions
    if errors:
        raise SettingsFindings(f"{len(errors)} faults", errors)
    print("ok:", *checked)
