"""The platform's settings file, checked whole."""

import pathlib
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from rosemaryweir.exception import Finding, InvalidInput

__all__ = ['VmSettings', 'parse_settings', 'read_settings']

MS_PER_SECOND = 1000


class VmSettings(NamedTuple):
    """What a process is told about its VM.

    Parameters
    ----------
    name, domain, region, ip : str
        The VM, its failure domain, region and address.
    front, ready, directory, control : str
        Addresses to listen on, ``ip:port``; ``control`` may be empty.
    first_port, last_port : int
        Ports for traffic between VMs, the same on every VM.
    seeds : tuple of str
        ``ip:port`` of VMs that may be up.
    store : str
        Address of the platform's store.
    memory_mb : int
        Memory that a process may use, in MB.
    capacity : float
        Processor cores of the usual speed: the share of a core, times how
        much faster it is.
    grace : float
        Seconds between SIGTERM and SIGKILL.
    ttl_most : float
        Longest time that callers may keep a directory answer, in seconds.
    extra_ratio, extra_slack, extra_window : float
        Sends beyond the first that a service bears: in relation to its
        requests, beside those, and in how many seconds.
    """

    name: str
    domain: str
    region: str
    ip: str
    front: str
    ready: str
    directory: str
    control: str
    first_port: int
    last_port: int
    seeds: tuple[str, ...]
    store: str
    memory_mb: int
    capacity: float
    grace: float
    ttl_most: float
    extra_ratio: float
    extra_slack: float
    extra_window: float


class _Reader:
    """Reads typed fields and collects what is wrong."""

    def __init__(self, fields: Mapping[str, str]) -> None:
        self._fields = fields
        self.findings: list[Finding] = []

    def text(self, name: str, default: str | None = None) -> str:
        """Return a field as it stands."""
        found = self._fields.get(name, default)
        if found is None:
            self.findings.append(Finding(name, 'is missing'))
        return found or ''

    def number(
        self,
        name: str,
        kind: Callable[[str], Any],
        default: float | None = None,
    ) -> Any:
        """Return a field as a number."""
        found = self._fields.get(name)
        if found is None and default is not None:
            return kind(str(default))
        try:
            return kind(found or '')
        except ValueError:
            problem = f'{found!r} is not a number' if found else 'is missing'
            self.findings.append(Finding(name, problem))
            return kind('0')

    def parts(self, name: str) -> tuple[str, ...]:
        """Return a list of fields joined by commas."""
        found = self._fields.get(name, '')
        return tuple(part.strip() for part in found.split(',') if part.strip())


def parse_settings(text: str) -> VmSettings:
    """Read settings in lines of the form ``a.b=value``.

    Raises
    ------
    InvalidInput
        With all findings.
    """
    fields = dict(_fields(text))
    reader = _Reader(fields)
    ports = reader.parts('internal_ports')
    if len(ports) != 2 or not all(port.isdigit() for port in ports):
        problem = 'needs the first and the last port, joined by a comma'
        reader.findings.append(Finding('internal_ports', problem))
        ports = ('0', '0')
    settings = VmSettings(
        name=reader.text('node_name'),
        domain=reader.text('zone'),
        region=reader.text('region', ''),
        ip=reader.text('ip'),
        front=reader.text('listen_addrs.front'),
        ready=reader.text('listen_addrs.ready'),
        directory=reader.text('listen_addrs.directory'),
        control=reader.text('listen_addrs.control', ''),
        first_port=int(ports[0]),
        last_port=int(ports[1]),
        seeds=reader.parts('seeds'),
        store=reader.text('platform.address'),
        memory_mb=reader.number('limits.memory_mb', int, 200),
        # The platform counts a core of threefold speed as three cores.
        capacity=reader.number('limits.cpu_share', float, 1)
        * reader.number('limits.cpu_cores', float, 1),
        grace=reader.number('bounds.grace_s', float, 6),
        ttl_most=reader.number('bounds.ttl_max_s', float, 5),
        extra_ratio=reader.number('bounds.retry_budget_ratio', float, 0.1),
        extra_slack=reader.number('bounds.retry_budget_slack', float, 0),
        extra_window=reader.number('bounds.budget_window_s', float, 10),
    )
    if reader.findings:
        raise InvalidInput(tuple(reader.findings))
    return settings


def read_settings(path: str) -> VmSettings:
    """Read and check a settings file.

    Raises
    ------
    InvalidInput
        With all findings.
    """
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise InvalidInput((Finding(path, str(exc)),)) from exc
    return parse_settings(text)


def _fields(text: str) -> Iterator[tuple[str, str]]:
    for line in text.splitlines():
        name, separator, content = line.partition('=')
        if separator and not name.lstrip().startswith('#'):
            yield name.strip(), content.strip()
