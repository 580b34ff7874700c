"""``rosemaryweir-leaf``: the process that owns the connections to targets."""

import sys

import fire

from rosemaryweir.daemons.process import run_role

__all__ = ['main', 'serve']


def serve(settings: str, check: bool = False) -> None:
    """Own targets: their connections, slots and cold limits.

    Parameters
    ----------
    settings : str
        File with the settings of the VM, as JSON.
    check : bool
        Only check the settings; all findings are printed together.
    """
    sys.exit(run_role('leaf', settings, check))


def main() -> None:
    """Run the command line."""
    fire.Fire(serve, name='rosemaryweir-leaf')


if __name__ == '__main__':
    main()
