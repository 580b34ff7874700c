"""Registry of the promise checks.

A check takes a `FaultScenario` that has run and yields a text for each
violation of its promise.
"""

from collections.abc import Callable, Iterator

from benchmarks.faults.scenario import FaultScenario

__all__ = ['PromiseCheck', 'Violation', 'promise', 'registered_checks']

Violation = str
PromiseCheck = Callable[[FaultScenario], Iterator[Violation]]

_PROMISES: dict[str, PromiseCheck] = {}


def promise(name: str) -> Callable[[PromiseCheck], PromiseCheck]:
    """Register a function as the check of a promise."""

    def decorate(check: PromiseCheck) -> PromiseCheck:
        _PROMISES[name] = check
        return check

    return decorate


def registered_checks() -> dict[str, PromiseCheck]:
    """Return the checks by promise, in the order of their numbers."""
    return dict(sorted(_PROMISES.items(), key=_number))


def _number(registration: tuple[str, PromiseCheck]) -> int:
    name, _ = registration
    return int(name.partition(' ')[0].removeprefix('P'))
