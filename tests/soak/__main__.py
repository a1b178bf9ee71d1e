"""Command line of the soak: `make soak SEED=1 SECONDS=60`.

Soaks that run at the same time need port ranges of their own, which
PYTEST_XDIST_WORKER=gw1, gw2 and so on selects.
"""

import argparse
import asyncio
import pathlib
import sys
import tempfile
from typing import Final

from tests.soak import fleet
from tests.soak import promises

MAX_ERROR_LINES: Final = 3


async def run_soak(seed: int, seconds: float, vm_count: int) -> list[str]:
    """Runs one soak; prints its size and returns the broken promises."""
    with tempfile.TemporaryDirectory() as folder:
        soak = fleet.SoakFleet(pathlib.Path(folder), seed, vm_count)
        errors = await soak.run(seconds)
    history = soak.history
    violations = promises.find_violations(history)
    served = sum(a.status == 200 for a in history.attempts.values())
    print(
        f"seed {seed}: {len(history.attempts)} requests, {served} served, "
        f"{len(history.disturbances)} disturbances, "
        f"{len(errors)} errors logged, {len(violations)} violations",
        flush=True,
    )
    for line in [*violations, *errors[:MAX_ERROR_LINES]]:
        print(f"  {line}", flush=True)
    return violations


def main() -> None:
    """Runs soaks with seeds in a row; exits with 1 if a promise broke."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--runs", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--vms", type=int, default=4, help="VM processes")
    options = parser.parse_args()
    broken = [
        seed
        for seed in range(options.seed, options.seed + options.runs)
        if asyncio.run(run_soak(seed, options.seconds, options.vms))
    ]
    if broken:
        print(f"seeds with broken promises: {broken}")
        sys.exit(1)


if __name__ == "__main__":
    main()
