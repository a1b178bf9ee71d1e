"""Command line of the bench: load, experiments and their reports."""

import asyncio
import sys
from typing import Final

import cyclopts

from wigeonspool.load import demo as demos

EXIT_BROKEN: Final = 1

app = cyclopts.App(
    name="wigeonspool-load",
    help="Sends load, runs experiments and checks what was seen.",
)


@app.command
def demo(
    gateway: list[str],
    control: list[str],
    zone: list[str],
    drain: str,
    seconds: float = 10.0,
    seed: int = 1,
) -> None:
    """Sends the demo's load and prints what came of it.

    Args:
        gateway: Gateways that callers may ask first; give one or more.
        control: Control ports of the target stand-ins; give one or more.
        zone: Availability zones of the callers; give one or more.
        drain: Target to drain halfway, of the first control port.
        seconds: Length of the load.
        seed: Seed of all choices.
    """
    history, verdict = asyncio.run(
        demos.run_demo(gateway, control, zone, seconds, drain, seed)
    )
    demos.print_report(history, verdict)
    if not verdict.is_kept():
        sys.exit(EXIT_BROKEN)


def main() -> None:
    """Entry point of the binary."""
    app()
