"""Commands for the settings of the fleet."""

import asyncio
import datetime
import json
import pathlib

import cyclopts
import msgspec

from galenarill.cli.client import AdminClient, open_client
from galenarill.cli.propagation import wait_until_applied
from galenarill.errors import CommandRefusedError
from galenarill.settings import flatten, load_settings

__all__ = ["config_app"]

config_app = cyclopts.App(name="config", help="Settings of the fleet.")
_encode = msgspec.json.Encoder(decimal_format="number").encode


@config_app.command
def check(base: pathlib.Path, site: pathlib.Path | None = None) -> None:
    """Check settings files and report every fault.

    Example: galenarill config check base.toml --site site.toml

    Args:
        base: Settings of the whole fleet.
        site: Overlay with the settings in which a site differs.
    """
    loaded = load_settings(base, site)
    print(f"ok: {len(loaded.origins)} settings")


@config_app.command
def explain(
    path: str, base: pathlib.Path, site: pathlib.Path | None = None
) -> None:
    """Show the values below a path, with the file and line of each.

    Example: galenarill config explain teams.batch.share base.toml
    --site site.toml

    Args:
        path: Dotted path of a setting or of a table.
        base: Settings of the whole fleet.
        site: Overlay with the settings in which a site differs.
    """
    loaded = load_settings(base, site)
    wanted = tuple(path.split("."))
    values = flatten(loaded.raw)
    found = [p for p in values if p[: len(wanted)] == wanted]
    if not found:
        raise CommandRefusedError(f"no setting {path!r}")
    for key in found:
        origin = loaded.origins[key]
        dotted = ".".join(key)
        print(
            f"{dotted} = {_to_json(values[key])}  ({origin.file}:{origin.line})"
        )


@config_app.command
def diff(base: pathlib.Path, site: pathlib.Path | None = None) -> None:
    """Show what `apply` would change.

    Args:
        base: Settings of the whole fleet.
        site: Overlay with the settings in which a site differs.
    """
    loaded = load_settings(base, site)

    async def run() -> None:
        async with open_client() as client:
            _, edits = await _compute_edits(client, loaded.raw)
            _print_edits(edits)

    asyncio.run(run())


@config_app.command
def apply(base: pathlib.Path, site: pathlib.Path | None = None) -> None:
    """Apply settings, and wait until they are in force everywhere.

    If another operator has changed one of the same settings in the meantime,
    the command reports a conflict and changes nothing.

    Args:
        base: Settings of the whole fleet.
        site: Overlay with the settings in which a site differs.
    """
    loaded = load_settings(base, site)

    async def run() -> None:
        async with open_client() as client:
            version, edits = await _compute_edits(client, loaded.raw)
            _print_edits(edits)
            if not edits:
                return
            outcome = await client.change("settings", {"edits": edits}, version)
            print(f"accepted as version {outcome['version']}")
            await wait_until_applied(client, outcome["version"])

    asyncio.run(run())


@config_app.command
def show() -> None:
    """Print the settings in force as JSON."""

    async def run() -> None:
        async with open_client() as client:
            response = await client.get("settings")
            print(msgspec.json.format(_encode(response)).decode())

    asyncio.run(run())


@config_app.command
def history() -> None:
    """List the latest changes: version, time, operator and description."""

    async def run() -> None:
        async with open_client() as client:
            for row in (await client.get("history"))["history"]:
                at = datetime.datetime.fromtimestamp(
                    float(row["at"]), datetime.UTC
                )
                print(
                    f"{row['version']:>8}  {at:%Y-%m-%d %H:%M:%S}  "
                    f"{row['operator']:<20}  {row['text']}"
                )

    asyncio.run(run())


async def _compute_edits(
    client: AdminClient, raw: dict
) -> tuple[int, list[dict]]:
    """Return the version in force and the edits that turn it into `raw`."""
    response = await client.get("settings")
    current = flatten(response["settings"])
    wanted = flatten(raw)
    edits = [
        {"path": list(path), "value": None, "is_removed": True}
        for path in sorted(current.keys() - wanted.keys())
    ]
    edits += [
        {"path": list(path), "value": value}
        for path, value in wanted.items()
        if path not in current or current[path] != value
    ]
    return response["version"], edits


def _print_edits(edits: list[dict]) -> None:
    for edit in edits:
        path = ".".join(edit["path"])
        if edit.get("is_removed"):
            print(f"- {path}")
        else:
            print(f"+ {path} = {_to_json(edit['value'])}")
    if not edits:
        print("no difference")


def _to_json(value) -> str:
    return json.dumps(value, default=str)
