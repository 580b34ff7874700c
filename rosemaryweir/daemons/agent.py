"""``rosemaryweir-agent``: the process that keeps control."""

import sys

import fire

from rosemaryweir.daemons.process import run_role

__all__ = ['main', 'serve']


def serve(settings: str, check: bool = False) -> None:
    """Keep membership, configuration and leases for one VM.

    Parameters
    ----------
    settings : str
        File with the settings of the VM, as JSON.
    check : bool
        Only check the settings; all findings are printed together.
    """
    sys.exit(run_role('agent', settings, check))


def main() -> None:
    """Run the command line."""
    fire.Fire(serve, name='rosemaryweir-agent')


if __name__ == '__main__':
    main()
