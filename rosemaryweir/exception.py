"""Exceptions of rosemaryweir.

All derive from `RosemaryweirError`, so that users of the library can catch
that class alone.
"""

from typing import NamedTuple

__all__ = [
    'Finding',
    'InvalidInput',
    'RosemaryweirError',
    'StaleGeneration',
]


class Finding(NamedTuple):
    """One problem in an input, with its path.

    Parameters
    ----------
    path : str
        JSON path, such as ``$.services.patrol-desk.slots``.
    problem : str
        What is wrong at the path.
    hint : str
        How to correct it.
    """

    path: str
    problem: str
    hint: str = ''

    def __str__(self) -> str:
        """Return the finding as one line."""
        suffix = f' ({self.hint})' if self.hint else ''
        return f'{self.path}: {self.problem}{suffix}'


class RosemaryweirError(Exception):
    """Base class of the errors of this package."""


class InvalidInput(RosemaryweirError):
    """Invalid input, with all findings.

    Parameters
    ----------
    findings : sequence of Finding
        All problems of the input.
    """

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        self.findings = findings
        super().__init__('\n'.join(str(finding) for finding in findings))


class StaleGeneration(RosemaryweirError):
    """A configuration is older than the one in force."""
