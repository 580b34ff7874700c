"""``rosemaryweir-entry``: the process that takes the requests of callers."""

import sys

import fire

from rosemaryweir.daemons.process import run_role

__all__ = ['main', 'serve']


def serve(settings: str, check: bool = False) -> None:
    """Serve callers: queries, orders, directory, health, status.

    Parameters
    ----------
    settings : str
        File with the settings of the VM, as JSON.
    check : bool
        Only check the settings; all findings are printed together.
    """
    sys.exit(run_role('entry', settings, check))


def main() -> None:
    """Run the command line."""
    fire.Fire(serve, name='rosemaryweir-entry')


if __name__ == '__main__':
    main()
