"""``rosemaryweir-standin``: stand-ins of the platform's store and targets.

They are for trials and tests on loopback addresses only; what they serve is
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

__all__ = ['Commands', 'main', 'read_config']

EXIT_FINDINGS = 2
_OPTION_KEYS = frozenset(('faults', 'timing', 'warm', 'seed'))


class Commands:
    """Stand-ins of what lies outside rosemaryweir, for trials and tests."""

    def store(self, address: str = '127.0.0.1:7400') -> None:
        """Serve the platform's object API on ADDRESS (ip:port).

        Parameters
        ----------
        address : str
            Where to listen.
        """
        asyncio.run(_serve_store(address))

    def targets(self, config: str, check: bool = False) -> None:
        """Serve every target of the configuration in the file CONFIG.

        Parameters
        ----------
        config : str
            A configuration as JSON; it may also have ``faults``,
            ``timing``, ``warm`` and ``seed``.
        check : bool
            Only check the file.
        """
        try:
            content, options = read_config(config)
        except InvalidInput as exc:
            sys.exit(_complain(config, exc))
        if check:
            _say(f'{config}: no findings')
        else:
            asyncio.run(_serve_targets(content, options))


def read_config(path: str) -> tuple[Config, StandinOptions]:
    """Read a configuration and the options of the stand-in beside it.

    Raises
    ------
    InvalidInput
        With all findings.
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
    fire.Fire(Commands, name='rosemaryweir-standin')


async def _serve_store(address: str) -> None:
    server = StoreServer()
    used = await server.start(address)
    _say(f'store on {used}')
    await _stopped()
    await server.stop()


async def _serve_targets(config: Config, options: StandinOptions) -> None:
    group = TargetGroup(config, options)
    await group.start()
    _say(f'{len(group)} targets')
    await _stopped()
    await group.stop()


async def _stopped() -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stop.set)
    await stop.wait()


def _complain(path: str, exc: InvalidInput) -> int:
    sys.stderr.write(f'{path}:\n{exc}\n')
    return EXIT_FINDINGS


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
