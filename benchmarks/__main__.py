"""Command that runs the benchmarks given as arguments, or all of them."""

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
    """Run the selected benchmarks, which print their results."""
    for name in sys.argv[1:] or BENCHMARKS:
        asyncio.run(importlib.import_module(f"benchmarks.{name}").run())


if __name__ == "__main__":
    main()
