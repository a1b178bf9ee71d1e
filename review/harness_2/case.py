"""Runs a case: its record, its time limit and its exit code."""

import asyncio
from collections.abc import Awaitable, Callable
import os
import pathlib
import shutil
import sys
import traceback

from review.harness_2 import deployment

BROKEN, HELD, NOT_RUN = 1, 0, 2
LIMIT_SECONDS = 112.0

Case = Callable[[deployment.Deployment, bool], Awaitable[bool]]


def run(case: Case, folder: str) -> None:
    """Runs a case and exits with its result.

    Args:
        case: Called with the deployment and whether the disruption happens;
            returns True if the rule was broken.
        folder: Folder of the case, for `record.txt`.
    """
    sys.exit(asyncio.run(_run(case, pathlib.Path(folder).resolve())))


async def _run(case: Case, folder: pathlib.Path) -> int:
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    parts = deployment.Deployment()
    parts.log(f"disruption: {'yes' if has_trouble else 'no'}")
    try:
        async with asyncio.timeout(LIMIT_SECONDS):
            is_broken = await case(parts, has_trouble)
        code = BROKEN if is_broken else HELD
        parts.log("the rule was broken" if is_broken else "the rule held")
    except Exception:
        parts.log("the case could not run")
        parts.lines.append(traceback.format_exc())
        code = NOT_RUN
    finally:
        await parts.stop()
        shutil.rmtree(parts.folder, ignore_errors=True)
    for run in parts.list_runs():
        parts.lines.append(
            f"{run.at - parts.started_at:8.3f} run {run.attempt}"
            f" {run.request.first} by {run.target}"
        )
    (folder / "record.txt").write_text("\n".join(parts.lines) + "\n")
    print("\n".join(line for line in parts.lines if "sum:" in line))
    print(f"exit code {code}")
    return code
