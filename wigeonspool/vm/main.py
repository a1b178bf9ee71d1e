"""Command line of the process of an entry VM."""

import sys

from wigeonspool import process
from wigeonspool.model import errors
from wigeonspool.platform import settings
from wigeonspool.vm import journal
from wigeonspool.vm import service


def main() -> None:
    """Entry point of the binary."""
    try:
        path = settings.find_path()
        chosen = settings.read_boot(path)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(process.EXIT_INVALID_SETTINGS)
    writer = journal.configure(chosen.vm)
    process.run_service(service.VmService(chosen, path, writer))


if __name__ == "__main__":
    main()
