"""Validation of the platform's deploy file and its settings templates."""

import dataclasses
import pathlib
import re
import tomllib

from galenarill.errors import Finding, SettingsError, SettingsErrorGroup
from galenarill.settings import NodeSettings

__all__ = ["check_deployment"]

# The platform's limit for a settings template.
MAX_TEMPLATE_BYTES = 64 * 1024
# The platform starts at most this many roles on one VM.
MAX_ROLES_PER_VM = 2
COMMANDS = ("gateway", "coordinator")
# Clients that a role may serve: callers ("front"), or workers and operators
# ("control").
AUDIENCES = ("front", "control")

_SETTING_KEY = re.compile(r"^(\w+) *=", re.MULTILINE)
# Sections render their content once per entry of a table.
_SECTION_BEGIN = re.compile(r"\{\{#([\w.]+)\}\}")
_SECTION_END = re.compile(r"\{\{/([\w.]+)\}\}")
_METRICS_ENDPOINT = re.compile(r"\d{1,5}/\S+")
_Faults = list[tuple[str, str]]


def check_deployment(file: pathlib.Path) -> list[pathlib.Path]:
    """Validate a deploy file and the templates that its roles refer to.

    Args:
        file: Deploy file, in a folder directly below the repository root.

    Returns:
        The deploy file and the templates.

    Raises:
        SettingsErrorGroup: If a file is invalid; holds every fault of
            all files.
    """
    try:
        raw = tomllib.loads(file.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise _findings({file: [("", str(error))]}) from error
    roles = raw.get("roles")
    if not isinstance(roles, dict) or not roles:
        raise _findings({file: [("roles", "must have a table for each role")]})
    faults: dict[pathlib.Path, _Faults] = {file: []}
    if not isinstance(raw.get("build"), str) or not raw["build"].strip():
        faults[file].append(("build", "must be a command"))
    for name, role in roles.items():
        path = f"roles.{name}"
        if not isinstance(role, dict):
            faults[file].append((path, "must be a table"))
            continue
        faults[file] += [
            (f"{path}.{k}", text) for k, text in _role_faults(role)
        ]
        template = role.get("template")
        if isinstance(template, str):
            source = file.parent.parent / template
            faults.setdefault(source, _template_faults(source))
    faults[file] += _vm_class_faults(roles)
    if any(faults.values()):
        raise _findings(faults)
    return list(faults)


def _role_faults(role: dict) -> _Faults:
    faults = []
    arguments = str(role.get("run", "")).split()
    if arguments[:3] != ["python3", "-m", "galenarill"]:
        faults.append(("run", "must begin with python3 -m galenarill"))
    elif not set(arguments[3:4]) & set(COMMANDS):
        faults.append(("run", f"must name one of {', '.join(COMMANDS)}"))
    if not isinstance(role.get("on"), str):
        faults.append(("on", "must name a class of VMs"))
    faults += _share_or_count_faults(role)
    serves = role.get("serves", [])
    if not isinstance(serves, list) or not set(serves) <= set(AUDIENCES):
        faults.append(("serves", f"must list some of {', '.join(AUDIENCES)}"))
    if "template" not in role:
        faults.append(("template", "is missing: the settings come from it"))
    metrics = role.get("metrics", "1/m")
    if not isinstance(metrics, str) or not _METRICS_ENDPOINT.fullmatch(metrics):
        faults.append(("metrics", f"must be PORT/PATH, not {metrics!r}"))
    return faults


def _share_or_count_faults(role: dict) -> _Faults:
    share, count = role.get("share"), role.get("count")
    if (share is None) == (count is None):
        return [("share", "exactly one of share and count must be given")]
    if count is not None and (type(count) is not int or count < 1):
        return [("count", f"must be a number of VMs, not {count!r}")]
    if share is not None and (
        type(share) not in (int, float) or not 0 < share <= 1
    ):
        return [("share", f"must be above 0 and at most 1, not {share!r}")]
    return []


def _vm_class_faults(roles: dict) -> _Faults:
    faults = []
    roles_by_class: dict[str, list[dict]] = {}
    for role in roles.values():
        if isinstance(role, dict):
            roles_by_class.setdefault(str(role.get("on")), []).append(role)
    for name, class_roles in roles_by_class.items():
        if len(class_roles) > MAX_ROLES_PER_VM:
            text = f"{len(class_roles)} roles on {name}: a VM runs two at most"
            faults.append(("roles", text))
        audiences = [
            audience
            for role in class_roles
            if isinstance(role.get("serves"), list)
            for audience in role["serves"]
        ]
        for audience in sorted(set(audiences)):
            if audiences.count(audience) > 1:
                text = f"two roles on {name} serve {audience}"
                faults.append(("roles", text))
    return faults


def _template_faults(file: pathlib.Path) -> _Faults:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        return [("", str(error))]
    faults = []
    if len(text.encode()) >= MAX_TEMPLATE_BYTES:
        faults.append(("", f"must be smaller than {MAX_TEMPLATE_BYTES} bytes"))
    if text.count("{{") != text.count("}}"):
        faults.append(("", "a placeholder is not closed"))
    if sorted(_SECTION_BEGIN.findall(text)) != sorted(
        _SECTION_END.findall(text)
    ):
        faults.append(("", "a section is not closed"))
    keys = _SETTING_KEY.findall(text)
    known = {field.name: field for field in dataclasses.fields(NodeSettings)}
    faults += [(key, "is no setting") for key in keys if key not in known]
    faults += [
        (key, "is set twice")
        for key in sorted(set(keys))
        if keys.count(key) > 1
    ]
    faults += [
        (name, "is missing")
        for name, field in known.items()
        if field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
        and name not in keys
    ]
    return faults


def _findings(faults: dict[pathlib.Path, _Faults]) -> SettingsErrorGroup:
    errors = [
        SettingsError(Finding(str(file), 0, path, text))
        for file, found in faults.items()
        for path, text in found
    ]
    return SettingsErrorGroup(f"{len(errors)} faults", errors)
