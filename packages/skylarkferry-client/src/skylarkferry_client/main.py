"""Entry point of ``skylarkferry``."""

import sys
from collections.abc import Sequence

import fire

from skylarkferry_client.commands import Commands
from skylarkferry_client.failures import CommandError


def main(arguments: Sequence[str] | None = None) -> None:
    """Run a command; on an error, print one message and exit with its code."""
    try:
        fire.Fire(Commands, command=arguments, name="skylarkferry")
    except CommandError as error:
        print(f"skylarkferry: {error}", file=sys.stderr)
        sys.exit(int(error.exit_code))
    except KeyboardInterrupt:
        sys.exit(130)
