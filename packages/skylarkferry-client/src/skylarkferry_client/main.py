"""Entry point of ``skylarkferry``."""

import sys

import fire

from skylarkferry_client.commands import Commands
from skylarkferry_client.failures import CommandError


def main() -> None:
    """Dispatch the command line; a failure prints one message and sets the exit code."""
    try:
        fire.Fire(Commands, name="skylarkferry")
    except CommandError as error:
        print(f"skylarkferry: {error}", file=sys.stderr)
        sys.exit(int(error.exit_code))
    except KeyboardInterrupt:
        sys.exit(130)
