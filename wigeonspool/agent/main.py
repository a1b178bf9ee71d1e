"""Command line of the agent."""

import pathlib
import sys
from typing import Annotated

import cyclopts

from wigeonspool import logs
from wigeonspool import service_runner
from wigeonspool.agent import service
from wigeonspool.model import errors
from wigeonspool.model import options

app = cyclopts.App(
    name="wigeonspool-agent",
    help="Follows configuration and members for the gateways of a VM.",
)


@app.default
def run(
    settings: Annotated[pathlib.Path, cyclopts.Parameter(name="--settings")],
) -> None:
    """Runs the agent until SIGTERM.

    Args:
        settings: YAML file with the settings of this VM.
    """
    try:
        chosen = options.read_options(settings)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(service_runner.EXIT_INVALID_SETTINGS)
    logs.configure_logs(f"agent {chosen.vm}", chosen.log)
    service_runner.run_service(service.AgentService(chosen))


def main() -> None:
    """Entry point of the command."""
    app()
