"""Tests of dependencies between packages and of pinned requirements."""

import pathlib
import re
import tomllib

ROOT = pathlib.Path(__file__).parent.parent
# Names in the platform's protocol for which the project uses other terms.
PLATFORM_WIRE_NAMES = (
    "run-start",
    "seen_upto",
    "run-stop",
    "max_hold_ms",
    "anti_affinity",
    "long_running",
    "same_rack",
    "slo_ms",
    "path_prefix",
    "api_keys",
    "machine-move",
    "machine-upkeep",
    "wave-start",
    "wave-get",
    "heartbeat_url",
    "admission_check",
    "X-Galenarill",
    "GALENARILL_NODE_FILE",
    '"/galenarill/',
)


def test_platform_wire_names_stay_in_platform_package():
    found = [
        f"{file.relative_to(ROOT)}: {name}"
        for file in (ROOT / "galenarill").rglob("*.py")
        if "platform" not in file.relative_to(ROOT / "galenarill").parts[:-1]
        for name in PLATFORM_WIRE_NAMES
        if re.search(rf"(?<!\w){re.escape(name)}(?!\w)", file.read_text())
    ]
    assert not found


def test_platform_package_imports_no_planner():
    """The package translates and serves requests; others plan."""
    for file in (ROOT / "galenarill/platform").glob("*.py"):
        imports = re.findall(r"from (galenarill\.\S+)", file.read_text())
        for name in imports:
            assert not name.startswith(
                ("galenarill.placement", "galenarill.maintenance_waves")
            ), file


def test_pinned_requirements_satisfy_the_project():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    pinned = {}
    for line in (ROOT / "requirements.txt").read_text().split():
        name, _, version = line.partition("==")
        pinned[_normalize_name(name)] = _version_numbers(version)
    for requirement in project["dependencies"]:
        name, low, high = re.fullmatch(
            r"([\w-]+)>=([\w.]+),<([\w.]+)", requirement
        ).groups()
        assert _normalize_name(name) in pinned, f"{name} is not pinned"
        version = pinned[_normalize_name(name)]
        assert _version_numbers(low) <= version < _version_numbers(high), name


def _normalize_name(name):
    return name.lower().replace("_", "-")


def _version_numbers(version):
    return [int(part) for part in re.findall(r"\d+", version)]
