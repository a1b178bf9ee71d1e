"""Command line of the gateway."""

import pathlib
import sys
from typing import Annotated

import cyclopts

from wigeonspool import logs
from wigeonspool import service_runner
from wigeonspool.gateway import service
from wigeonspool.model import errors
from wigeonspool.model import options

app = cyclopts.App(
    name="wigeonspool-gateway",
    help="Serves callers: decides for each request which target runs it.",
)


@app.default
def run(
    settings: Annotated[pathlib.Path, cyclopts.Parameter(name="--settings")],
    index: Annotated[int, cyclopts.Parameter(name="--index")] = 0,
) -> None:
    """Runs a gateway until SIGTERM, then drains and exits.

    Args:
        settings: YAML file with the settings of this VM.
        index: Which of the VM's gateways to run, from 0.
    """
    try:
        parsed = options.read_options(settings)
        if not 0 <= index < len(parsed.gateway.addresses):
            raise errors.SettingsError(
                str(settings), "gateway.addresses", f"no entry {index}"
            )
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(service_runner.EXIT_INVALID_SETTINGS)
    logs.configure_logs(f"gateway {parsed.vm}-{index}", parsed.log)
    service_runner.run_service(service.GatewayService(parsed, index))


def main() -> None:
    """Entry point of the command."""
    app()
