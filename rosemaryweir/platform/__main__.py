"""Command of the VM program: ``python -m rosemaryweir.platform``."""

import sys

import fire

from rosemaryweir.platform import program
from rosemaryweir.platform.vm import settings_path


def serve(
    settings: str = '', metrics_port: int = 0, check: bool = False
) -> None:
    """Run the query tier on this VM.

    Parameters
    ----------
    settings : str
        Path of the settings file; by default the one that the environment
        names.
    metrics_port : int
        Port of the metrics page; 0 for none.
    check : bool
        Only validate the settings and print all findings.
    """
    path = settings or settings_path()
    vm_settings = program.read_settings_or_exit(path)
    if check:
        sys.stdout.write(f'{path}: no findings\n')
        return
    program.serve(vm_settings, path, metrics_port)


if __name__ == '__main__':
    fire.Fire(serve)
