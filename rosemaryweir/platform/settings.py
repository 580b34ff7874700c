"""Read and validate the platform's settings file."""

import math
import pathlib
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from rosemaryweir.exception import Finding, InvalidInput

__all__ = ['VmSettings', 'parse_settings', 'read_settings']

MS_PER_SECOND = 1000
_PORT = re.compile('[0-9]{1,5}')


class VmSettings(NamedTuple):
    """Settings of the VM program.

    Parameters
    ----------
    name, domain, region, ip : str
        The VM, its failure domain, region and IP address.
    front_address, readiness_address, directory_address, control_address : str
        Addresses to listen on, ``ip:port``; ``control_address`` may be empty.
    first_internal_port, last_internal_port : int
        Range of ports for traffic between VMs, the same on every VM.
    seeds : tuple of str
        ``ip:port`` of VMs that may be running.
    store_address : str
        Address of the platform's store.
    memory_mb : int
        Memory that a process may use, in MB.
    capacity : float
        Processor capacity in cores of standard speed: the share of a core
        times its relative speed.
    termination_grace : float
        Time between SIGTERM and SIGKILL, in seconds.
    max_ttl : float
        Longest time that callers may cache a directory answer, in seconds.
    retry_budget_ratio, retry_budget_slack, retry_budget_window : float
        Attempts beyond the first that a service allows: as a share of its
        requests, an absolute number on top, and the window of both in seconds.
    """

    name: str
    domain: str
    region: str
    ip: str
    front_address: str
    readiness_address: str
    directory_address: str
    control_address: str
    first_internal_port: int
    last_internal_port: int
    seeds: tuple[str, ...]
    store_address: str
    memory_mb: int
    capacity: float
    termination_grace: float
    max_ttl: float
    retry_budget_ratio: float
    retry_budget_slack: float
    retry_budget_window: float


class _FieldReader:
    """Reads typed fields and collects all errors."""

    def __init__(self, fields: Mapping[str, str]) -> None:
        self._fields = fields
        self.findings: list[Finding] = []

    def text(self, name: str, default: str | None = None) -> str:
        """Return a field as text."""
        value = self._fields.get(name, default)
        if value is None:
            self.findings.append(Finding(name, 'is missing'))
        return value or ''

    def number(
        self,
        name: str,
        kind: Callable[[str], Any],
        default: float | None = None,
    ) -> Any:
        """Return a field as a number of a kind."""
        value = self._fields.get(name)
        if value is None and default is not None:
            return kind(str(default))
        try:
            number = kind(value or '')
        except ValueError:
            number = -1
        if 0 <= number < math.inf:
            return number
        problem = (
            f'expected a non-negative number, got {value!r}'
            if value
            else 'is missing'
        )
        self.findings.append(Finding(name, problem))
        return kind('0')

    def comma_list(self, name: str) -> tuple[str, ...]:
        """Return the parts of a comma-separated field."""
        value = self._fields.get(name, '')
        return tuple(part.strip() for part in value.split(',') if part.strip())


def parse_settings(text: str) -> VmSettings:
    """Parse settings in lines of the form ``a.b=value``.

    Raises
    ------
    InvalidInput
        If fields are missing or malformed; holds all findings.
    """
    fields = dict(_fields(text))
    reader = _FieldReader(fields)
    ports = reader.comma_list('internal_ports')
    if len(ports) != 2 or not all(map(_PORT.fullmatch, ports)):
        problem = 'needs the first and the last port, joined by a comma'
        reader.findings.append(Finding('internal_ports', problem))
        ports = ('0', '0')
    settings = VmSettings(
        name=reader.text('node_name'),
        domain=reader.text('zone'),
        region=reader.text('region', ''),
        ip=reader.text('ip'),
        front_address=reader.text('listen_addrs.front'),
        readiness_address=reader.text('listen_addrs.ready'),
        directory_address=reader.text('listen_addrs.directory'),
        control_address=reader.text('listen_addrs.control', ''),
        first_internal_port=int(ports[0]),
        last_internal_port=int(ports[1]),
        seeds=reader.comma_list('seeds'),
        store_address=reader.text('platform.address'),
        memory_mb=reader.number('limits.memory_mb', int, 200),
        # The platform counts a core of three times the speed as three cores.
        capacity=reader.number('limits.cpu_share', float, 1)
        * reader.number('limits.cpu_cores', float, 1),
        termination_grace=reader.number('bounds.grace_s', float, 6),
        max_ttl=reader.number('bounds.ttl_max_s', float, 5),
        retry_budget_ratio=reader.number(
            'bounds.retry_budget_ratio', float, 0.1
        ),
        retry_budget_slack=reader.number('bounds.retry_budget_slack', float, 0),
        retry_budget_window=reader.number('bounds.budget_window_s', float, 10),
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
