"""Settings files: a base file for the fleet and one overlay per site."""

import dataclasses
import pathlib
import re
import tomllib
from decimal import Decimal

from galenarill.errors import Finding, SettingsError, SettingsErrorGroup
from galenarill.settings.check import structure_settings
from galenarill.settings.model import FleetSettings

__all__ = ["Origin", "LoadedSettings", "load_settings", "flatten", "unflatten"]

SettingPath = tuple[str, ...]

TABLE_PATTERN = re.compile(r"^\s*\[\[?\s*([^\]]+?)\s*\]\]?")
KEY_PATTERN = re.compile(r"^\s*([A-Za-z0-9_\-\".]+)\s*=")


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """File and line that define a value.

    Attributes:
        file: Settings file.
        line: Line number from 1, or 0 if unknown.
    """

    file: str
    line: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedSettings:
    """Validated settings, merged from a base file and an overlay.

    Attributes:
        settings: Typed settings.
        raw: Merged tables as parsed from TOML.
        origins: File and line of each value, by path.
    """

    settings: FleetSettings
    raw: dict
    origins: dict[SettingPath, Origin]


def load_settings(
    base: pathlib.Path, overlay: pathlib.Path | None = None
) -> LoadedSettings:
    """Read a base file and an overlay, merge them and validate the result.

    Args:
        base: Settings file of the whole fleet.
        overlay: Settings file of one site. It may only contain values that
            differ from `base`; a restated value is a fault.

    Returns:
        The merged settings.

    Raises:
        SettingsErrorGroup: If a file or the merged settings are invalid; holds
            every fault with file, line and path.
    """
    findings: list[Finding] = []
    values: dict[SettingPath, object] = {}
    origins: dict[SettingPath, Origin] = {}
    for file in [base, *([overlay] if overlay else [])]:
        raw, lines = _read_file(file, findings)
        for path, value in flatten(raw).items():
            origin = Origin(str(file), _find_line(lines, path))
            if path in values and values[path] == value:
                text = f"restates the value {value!r} of {base}"
                findings.append(_finding(origin, path, text))
            values[path] = value
            origins[path] = origin
    merged = unflatten(values)
    settings, faults = structure_settings(merged)
    for fault in faults:
        origin = _find_origin(origins, fault.path, str(overlay or base))
        findings.append(_finding(origin, fault.path, fault.text))
    if findings or settings is None:
        raise SettingsErrorGroup(
            f"{len(findings)} faults in the settings",
            [SettingsError(finding) for finding in findings],
        )
    return LoadedSettings(settings, merged, origins)


def flatten(raw: dict) -> dict[SettingPath, object]:
    """Return the values of nested tables by path.

    Lists and empty tables count as values.

    Example:
        >>> flatten({"teams": {"a": {"share": 1}}})
        {('teams', 'a', 'share'): 1}
    """
    flat: dict[SettingPath, object] = {}
    for key, value in raw.items():
        if isinstance(value, dict) and value:
            for path, inner in flatten(value).items():
                flat[key, *path] = inner
        else:
            flat[key,] = value
    return flat


def unflatten(values: dict[SettingPath, object]) -> dict:
    """Return nested tables from values by path, the inverse of `flatten`.

    Example:
        >>> unflatten({("teams", "a", "share"): 1})
        {'teams': {'a': {'share': 1}}}
    """
    raw: dict = {}
    for path, value in values.items():
        table = raw
        for key in path[:-1]:
            inner = table.get(key)
            if not isinstance(inner, dict):
                inner = table[key] = {}
            table = inner
        if not (isinstance(table.get(path[-1]), dict) and value == {}):
            table[path[-1]] = value
    return raw


def _read_file(
    file: pathlib.Path, findings: list[Finding]
) -> tuple[dict, dict[SettingPath, int]]:
    try:
        text = file.read_text(encoding="utf-8")
        raw = tomllib.loads(text, parse_float=Decimal)
    except (OSError, UnicodeDecodeError) as error:
        findings.append(Finding(str(file), 0, "", f"cannot be read: {error}"))
        return {}, {}
    except tomllib.TOMLDecodeError as error:
        match = re.search(r"at line (\d+)", str(error))
        line = int(match.group(1)) if match else 0
        findings.append(Finding(str(file), line, "", str(error)))
        return {}, {}
    return raw, _index_lines(text)


def _index_lines(text: str) -> dict[SettingPath, int]:
    """Return the line of the first occurrence of each table and key.

    Lines are matched by pattern, since `tomllib` reports no positions.
    """
    lines: dict[SettingPath, int] = {}
    table: SettingPath = ()
    for number, line in enumerate(text.splitlines(), 1):
        if match := TABLE_PATTERN.match(line):
            table = _split_path(match.group(1))
            lines.setdefault(table, number)
        elif match := KEY_PATTERN.match(line):
            lines.setdefault((*table, *_split_path(match.group(1))), number)
    return lines


def _split_path(text: str) -> SettingPath:
    return tuple(part.strip().strip("\"'") for part in text.split("."))


def _find_line(lines: dict[SettingPath, int], path: SettingPath) -> int:
    for length in range(len(path), 0, -1):
        if path[:length] in lines:
            return lines[path[:length]]
    return 0


def _find_origin(
    origins: dict[SettingPath, Origin], path: SettingPath, default_file: str
) -> Origin:
    """Return the origin of `path`, or of the first value below it.

    If there is none, the enclosing tables are tried from the innermost one,
    and then `default_file` with line 0 is returned.
    """
    for length in range(len(path), 0, -1):
        prefix = path[:length]
        for candidate, origin in origins.items():
            if candidate[:length] == prefix:
                return origin
    return Origin(default_file, 0)


def _finding(origin: Origin, path: SettingPath, text: str) -> Finding:
    return Finding(origin.file, origin.line, ".".join(path), text)
