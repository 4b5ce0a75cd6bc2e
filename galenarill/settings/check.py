"""Validation of the fleet's settings that reports every fault at once."""

import dataclasses
import datetime
from collections.abc import Iterator
from decimal import Decimal

import cattrs

from galenarill.settings.model import FleetSettings

__all__ = [
    "Fault",
    "structure_settings",
    "find_faults",
    "make_converter",
    "faults_from_exception",
]

MAX_NAME_LENGTH = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One invalid, missing or unknown setting.

    Attributes:
        path: Keys from the root table to the setting.
        text: What is wrong, with the offending value.
    """

    path: tuple[str, ...]
    text: str


def structure_settings(
    raw: dict,
) -> tuple[FleetSettings | None, list[Fault]]:
    """Convert parsed TOML into typed settings and validate them.

    Args:
        raw: Nested tables as parsed from TOML.

    Returns:
        The settings, or None if there are faults, and all faults by path.

    Example:
        >>> settings, faults = structure_settings({"teams": {"a": {}}})
        >>> [(fault.path, fault.text) for fault in faults]
        [(('teams', 'a', 'share'), 'is missing')]
    """
    try:
        settings = make_converter().structure(raw, FleetSettings)
    except cattrs.BaseValidationError as error:
        return None, sorted(
            faults_from_exception(error, ()), key=lambda f: f.path
        )
    faults = sorted(find_faults(settings), key=lambda f: f.path)
    return (None if faults else settings), faults


def find_faults(settings: FleetSettings) -> Iterator[Fault]:
    """Yield every fault in the values of correctly typed settings."""
    for table in ("teams", "queues", "pools", "vms", "units"):
        for name in getattr(settings, table):
            if not _is_valid_name(name):
                yield Fault((table, name), f"{name!r} is not a valid name")
    yield from _unit_faults(settings)
    yield from _team_faults(settings)
    yield from _queue_faults(settings)
    yield from _pool_faults(settings)
    yield from _vm_faults(settings)


def _is_valid_name(name: str) -> bool:
    return (
        0 < len(name) <= MAX_NAME_LENGTH
        and name.isascii()
        and name.replace("-", "").replace("_", "").isalnum()
    )


def _unit_faults(settings: FleetSettings) -> Iterator[Fault]:
    for name, versions in settings.units.items():
        numbers = [unit.version for unit in versions]
        if len(set(numbers)) < len(numbers):
            yield Fault(("units", name), "has two entries of one version")
        for unit in versions:
            resources = (unit.processors, unit.memory_gib, unit.accelerators)
            if min(resources) < 0 or not any(resources):
                yield Fault(
                    ("units", name),
                    f"version {unit.version} needs amounts above 0",
                )


def _team_faults(settings: FleetSettings) -> Iterator[Fault]:
    for name, team in settings.teams.items():
        path = ("teams", name)
        if not team.share > 0:
            yield Fault((*path, "share"), f"must be above 0, not {team.share}")
        if (team.upper_limit is None) == (team.contract is None):
            yield Fault(path, "needs either an upper_limit or a contract")
        if team.upper_limit is not None and team.upper_limit < 0:
            yield Fault(
                (*path, "upper_limit"),
                f"must not be negative, not {team.upper_limit}",
            )
        contract = team.contract
        if contract is None:
            continue
        if contract.limit < 0:
            yield Fault(
                (*path, "contract", "limit"),
                f"must not be negative, not {contract.limit}",
            )
        units = settings.units.get(contract.unit, [])
        if contract.unit_version not in [u.version for u in units]:
            yield Fault(
                (*path, "contract", "unit"),
                f"no unit {contract.unit!r} version {contract.unit_version}",
            )


def _queue_faults(settings: FleetSettings) -> Iterator[Fault]:
    for name, queue in settings.queues.items():
        if queue.pool not in settings.pools:
            yield Fault(("queues", name, "pool"), f"no pool {queue.pool!r}")
        if queue.max_waiting < 0:
            yield Fault(
                ("queues", name, "max_waiting"),
                f"must not be negative, not {queue.max_waiting}",
            )


def _pool_faults(settings: FleetSettings) -> Iterator[Fault]:
    for name, pool in settings.pools.items():
        for setting in ("max_unavailable", "max_unavailable_per_rack"):
            value = getattr(pool, setting)
            if value < 0:
                yield Fault(
                    ("pools", name, setting),
                    f"must not be negative, not {value}",
                )


def _vm_faults(settings: FleetSettings) -> Iterator[Fault]:
    zone_by_rack: dict[str, str] = {}
    for name, vm in settings.vms.items():
        if vm.pool not in settings.pools:
            yield Fault(("vms", name, "pool"), f"no pool {vm.pool!r}")
        zone = zone_by_rack.setdefault(vm.rack, vm.availability_zone)
        if zone != vm.availability_zone:
            yield Fault(
                ("vms", name, "rack"), f"rack {vm.rack!r} is in zone {zone!r}"
            )


def make_converter() -> cattrs.Converter:
    """Return a converter that rejects unknown keys and mismatched types.

    A setting of type `Decimal` accepts integers and floats as well.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(Decimal, _to_decimal)
    converter.register_structure_hook(int, _to_int)
    converter.register_structure_hook(bool, _to_bool)
    converter.register_structure_hook(str, _to_str)
    converter.register_structure_hook(
        int | None, lambda v, _: None if v is None else _to_int(v, int)
    )
    return converter


def _to_decimal(value, _) -> Decimal:
    if isinstance(value, bool) or not isinstance(value, int | float | Decimal):
        raise ValueError(f"must be a number, not {value!r}")
    number = Decimal(str(value))
    if not number.is_finite():
        raise ValueError(f"must be finite, not {value!r}")
    return number


def _to_int(value, _) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"must be a whole number, not {_format_value(value)}")
    return value


def _to_bool(value, _) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"must be true or false, not {_format_value(value)}")
    return value


def _to_str(value, _) -> str:
    if not isinstance(value, str):
        raise ValueError(f"must be a string, not {_format_value(value)}")
    return value


def _format_value(value) -> str:
    if isinstance(value, Decimal | datetime.date):
        return str(value)
    return repr(value)


def faults_from_exception(
    error: Exception, path: tuple[str, ...]
) -> Iterator[Fault]:
    """Yield the faults in an exception raised by cattrs.

    Args:
        error: Exception, or exception group with one exception per fault.
        path: Path of the table that was being structured.
    """
    if isinstance(error, cattrs.IterableValidationError):
        for inner, location in error.group_exceptions()[0]:
            yield from faults_from_exception(
                inner, (*path, str(location.index))
            )
        for inner in error.group_exceptions()[1]:
            yield from faults_from_exception(inner, path)
    elif isinstance(error, cattrs.ClassValidationError):
        located, unlocated = error.group_exceptions()
        for inner, location in located:
            yield from faults_from_exception(inner, (*path, location.name))
        for inner in unlocated:
            yield from faults_from_exception(inner, path)
    elif isinstance(error, cattrs.ForbiddenExtraKeysError):
        for key in sorted(error.extra_fields):
            yield Fault((*path, key), "is not a setting")
    elif isinstance(error, KeyError):
        yield Fault(path, "is missing")
    else:
        yield Fault(path, str(error))
