"""Runs the benchmarks named on the command line, or all of them."""

import asyncio
import importlib
import sys

BENCHMARKS = (
    "added_cost",
    "burst",
    "baselines",
    "outage",
    "control_cost",
    "log",
)


def main() -> None:
    """Run each benchmark and print its figures."""
    for name in sys.argv[1:] or BENCHMARKS:
        asyncio.run(importlib.import_module(f"benchmarks.{name}").run())


if __name__ == "__main__":
    main()
