"""Entry point of the command-line interface."""

import asyncio
import gc
import pathlib
import sys
from typing import Annotated

import cyclopts

from galenarill.cli.check import check
from galenarill.cli.config import config_app
from galenarill.cli.explain import explain
from galenarill.cli.fleet import status, vm_app
from galenarill.cli.keys import key_app, operator_app
from galenarill.cli.report import report
from galenarill.cli.trace import trace
from galenarill.cli.zones import zone_app
from galenarill.errors import (
    GalenarillError,
    SettingsErrorGroup,
)
from galenarill.platform.variables import SETTINGS_FILE_VARIABLE

__all__ = ["app", "main"]

# Allocations that start a collection of the youngest objects, and numbers of
# collections that start one of the next older ones.
COLLECTION_THRESHOLDS = (20_000, 20, 50)
EXIT_FAILED = 1
EXIT_INVALID = 2

app = cyclopts.App(
    name="galenarill",
    help="Fleet capacity and maintenance manager.",
    version_flags=["--version"],
)


app.command(config_app)
app.command(key_app)
app.command(operator_app)
app.command(vm_app)
app.command(zone_app)
app.command(check)
app.command(explain)
app.command(report)
app.command(status)
app.command(trace)


@app.command
def serve(settings: Annotated[pathlib.Path, cyclopts.Parameter()]) -> None:
    """Run one entry VM until SIGTERM.

    Example: galenarill serve /etc/galenarill/entry.toml

    Args:
        settings: TOML file with the settings of this process.
    """
    # Imported here to keep the start-up of the other commands fast.
    import uvloop

    from galenarill.entry import serve as serve_entry_vm
    from galenarill.settings import load_process_settings
    from galenarill.telemetry import start_logging

    loaded = load_process_settings(settings)
    buffer = start_logging(loaded.vm, loaded.log_file)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve_entry_vm(loaded, buffer))


@app.command
def gateway(
    settings: Annotated[
        pathlib.Path, cyclopts.Parameter(env_var=SETTINGS_FILE_VARIABLE)
    ],
) -> None:
    """Run a gateway, which accepts jobs from callers, until SIGTERM.

    Example: galenarill gateway /etc/galenarill/node.toml

    Args:
        settings: TOML file with the settings of this process.
    """
    from galenarill.platform.process import run_gateway

    _run_node(settings, run_gateway)


@app.command
def coordinator(
    settings: Annotated[
        pathlib.Path, cyclopts.Parameter(env_var=SETTINGS_FILE_VARIABLE)
    ],
) -> None:
    """Run a coordinator, a voting replica of the log, until SIGTERM.

    Example: galenarill coordinator /etc/galenarill/node.toml

    Args:
        settings: TOML file with the settings of this process.
    """
    from galenarill.platform.process import run_coordinator

    _run_node(settings, run_coordinator)


def _run_node(settings_file: pathlib.Path, run_process) -> None:
    import uvloop

    from galenarill.settings import load_node_settings
    from galenarill.telemetry import start_nonblocking_logging

    loaded = load_node_settings(settings_file)
    log_handler = start_nonblocking_logging(loaded.vm)
    _reduce_collections()
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run_process(settings_file, log_handler))
    finally:
        log_handler.flush()


def _reduce_collections() -> None:
    """Let the garbage collector run less often, and skip what is loaded.

    With the defaults of Python it took 11% of the time of a busy leader, with
    pauses of 44 ms. Nearly all objects are freed by their reference counts.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)


def main() -> None:
    """Run the command line; print errors and set the exit code."""
    try:
        app()
    except SettingsErrorGroup as group:
        for error in group.exceptions:
            print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID)
    except GalenarillError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
