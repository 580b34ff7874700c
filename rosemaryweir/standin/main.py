"""Runs stand-in servers for the store and targets: ``rosemaryweir-standin``.

They are only for trials and tests on loopback addresses.  Their interfaces are
described in docs/TARGETS-AND-STORE.md.
"""

import asyncio
import json
import pathlib
import signal
import sys
from typing import Any

import fire

from rosemaryweir.exception import Finding, InvalidInput
from rosemaryweir.schema.check import findings
from rosemaryweir.schema.generated.config import Config
from rosemaryweir.schema.generated.target import StandinOptions
from rosemaryweir.standin.store_server import StoreServer
from rosemaryweir.standin.target_group import TargetGroup

__all__ = ['StandinCommands', 'main', 'read_config']

EXIT_FINDINGS = 2
_OPTION_KEYS = frozenset(('faults', 'timing', 'warm', 'seed'))


class StandinCommands:
    """Run stand-in servers for the store and targets in trials and tests."""

    def store(self, address: str = '127.0.0.1:7400') -> None:
        """Serve the platform's object API on ADDRESS (ip:port).

        Parameters
        ----------
        address : str
            IP address and port to listen on.
        """
        asyncio.run(_serve_store(address))

    def targets(self, config: str, check: bool = False) -> None:
        """Serve all targets of the configuration in the file CONFIG.

        Parameters
        ----------
        config : str
            Path of a configuration in JSON; it may also have the keys
            ``faults``, ``timing``, ``warm`` and ``seed``.
        check : bool
            Validate the file without serving targets.
        """
        try:
            content, options = read_config(config)
        except InvalidInput as exc:
            sys.exit(_report_findings(config, exc))
        if check:
            _print_line(f'{config}: no findings')
        else:
            asyncio.run(_serve_targets(content, options))


def read_config(path: str) -> tuple[Config, StandinOptions]:
    """Read a configuration and the stand-in options from the same file.

    Raises
    ------
    InvalidInput
        If the file is unreadable or invalid; holds all findings.
    """
    try:
        content: dict[str, Any] = json.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError) as exc:
        raise InvalidInput((Finding('$', str(exc)),)) from exc
    options: Any = {
        key: content.pop(key) for key in _OPTION_KEYS & set(content)
    }
    found = (
        *findings('config', content),
        *findings('target/StandinOptions', options),
    )
    if found:
        raise InvalidInput(found)
    return content, options  # type: ignore[return-value]


def main() -> None:
    """Run the command line."""
    fire.Fire(StandinCommands, name='rosemaryweir-standin')


async def _serve_store(address: str) -> None:
    server = StoreServer()
    used = await server.start(address)
    _print_line(f'store on {used}')
    await _wait_for_signal()
    await server.stop()


async def _serve_targets(config: Config, options: StandinOptions) -> None:
    group = TargetGroup(config, options)
    await group.start()
    _print_line(f'{len(group)} targets')
    await _wait_for_signal()
    await group.stop()


async def _wait_for_signal() -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stop.set)
    await stop.wait()


def _report_findings(path: str, exc: InvalidInput) -> int:
    sys.stderr.write(f'{path}:\n{exc}\n')
    return EXIT_FINDINGS


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
