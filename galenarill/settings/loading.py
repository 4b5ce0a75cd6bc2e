"""Loading of a process's settings file, which reports every fault at once."""

import pathlib
import tomllib
from collections.abc import Callable

import cattrs

from galenarill.errors import Finding, SettingsError, SettingsErrorGroup
from galenarill.settings.check import faults_from_exception, make_converter

__all__ = ["load_checked"]


def load_checked(
    file: pathlib.Path,
    settings_class: type,
    find_faults: Callable[..., list[tuple[str, str]]],
):
    """Read a TOML file into a settings class and validate it.

    Args:
        file: TOML file.
        settings_class: Dataclass whose fields are the settings.
        find_faults: Function that takes an instance of `settings_class` and
            returns the path and the text of each fault in its values.

    Returns:
        An instance of `settings_class`.

    Raises:
        SettingsErrorGroup: If the file is invalid; holds every fault.
    """
    try:
        raw = tomllib.loads(file.read_text(encoding="utf-8"))
        settings = make_converter().structure(raw, settings_class)
    except (OSError, ValueError) as error:
        raise _findings(file, [("", str(error))]) from error
    except cattrs.BaseValidationError as error:
        faults = [
            (".".join(f.path), f.text) for f in faults_from_exception(error, ())
        ]
        raise _findings(file, faults) from error
    faults = find_faults(settings)
    if faults:
        raise _findings(file, faults)
    return settings


def _findings(
    file: pathlib.Path, faults: list[tuple[str, str]]
) -> SettingsErrorGroup:
    return SettingsErrorGroup(
        f"{len(faults)} faults in {file}",
        [SettingsError(Finding(str(file), 0, path, t)) for path, t in faults],
    )
