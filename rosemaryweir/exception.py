"""Exceptions of rosemaryweir.

A shallow hierarchy: whoever embeds the library can catch
`RosemaryweirError` alone.
"""

from typing import NamedTuple

__all__ = [
    'Finding',
    'InvalidInput',
    'RosemaryweirError',
    'StaleGeneration',
]


class Finding(NamedTuple):
    """One thing that is wrong, with its place.

    Parameters
    ----------
    path : str
        JSON path of the place, such as ``$.services.patrol-desk.slots``.
    problem : str
        What is wrong there.
    hint : str
        What to do about it.
    """

    path: str
    problem: str
    hint: str = ''

    def __str__(self) -> str:
        """Return the finding as one line."""
        tail = f' ({self.hint})' if self.hint else ''
        return f'{self.path}: {self.problem}{tail}'


class RosemaryweirError(Exception):
    """Base class of the errors of this package."""


class InvalidInput(RosemaryweirError):
    """Input with findings, all of them collected.

    Parameters
    ----------
    findings : sequence of Finding
        Everything that is wrong with the input.
    """

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        self.findings = findings
        super().__init__('\n'.join(str(finding) for finding in findings))


class StaleGeneration(RosemaryweirError):
    """A configuration older than one that has been in force."""
