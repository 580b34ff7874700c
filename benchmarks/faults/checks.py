"""The registry of promises: each a check of what the fakes saw.

A check takes a `World` and returns what broke the promise.
"""

from collections.abc import Callable, Iterator

from benchmarks.faults.world import World

__all__ = ['Check', 'Violation', 'promise', 'registered']

Violation = str
Check = Callable[[World], Iterator[Violation]]

_PROMISES: dict[str, Check] = {}


def promise(name: str) -> Callable[[Check], Check]:
    """Register the check of a promise."""

    def decorate(check: Check) -> Check:
        _PROMISES[name] = check
        return check

    return decorate


def registered() -> dict[str, Check]:
    """Return the registered checks by promise, in the promises' order."""
    return dict(sorted(_PROMISES.items(), key=_number))


def _number(registration: tuple[str, Check]) -> int:
    name, _ = registration
    return int(name.partition(' ')[0].removeprefix('P'))
