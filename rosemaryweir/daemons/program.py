"""Command line shared by the programs of all roles."""

import sys
from collections.abc import Callable

import fire

from rosemaryweir.daemons.process import run_role

__all__ = ['make_main']

_USAGE = """

Parameters
----------
settings : str
    File with the settings of the VM, as JSON.
check : bool
    Only check the settings; all findings are printed together.
"""


def make_main(role: str, summary: str) -> Callable[[], None]:
    """Return the main function of a role's program.

    Parameters
    ----------
    role : str
        ``entry``, ``leaf`` or ``agent``.
    summary : str
        One-line description for ``--help``.
    """

    def serve(settings: str, check: bool = False) -> None:
        sys.exit(run_role(role, settings, check))

    def main() -> None:
        fire.Fire(serve, name=f'rosemaryweir-{role}')

    serve.__doc__ = f'{summary}{_USAGE}'
    return main
