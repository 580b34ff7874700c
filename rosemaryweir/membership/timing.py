"""Intervals and time limits of membership, leases and the directory."""

__all__ = [
    'PROCESS_SILENCE_S',
    'DIRECTORY_TTL_S',
    'EVIDENCE_LIFETIME_S',
    'MAX_GRANT_S',
    'HELLO_INTERVAL_S',
    'PULSE_LIFETIME_S',
    'clock_skew',
]

from rosemaryweir.schema.generated.settings import Settings

#: Interval of the hellos of an entry or leaf to its agent, in seconds.
HELLO_INTERVAL_S = 0.25

#: Longest lease that one grant gives to a process of the VM, in seconds.
MAX_GRANT_S = 1.5

#: Time for which evidence that no newer view or configuration exists permits
#: new work, in seconds.
EVIDENCE_LIFETIME_S = 2.5

#: Time for which the status of a VM lets a directory list it, in seconds.
PULSE_LIFETIME_S = 3.0

#: Time for which callers may cache an answer of the directory, in seconds.
DIRECTORY_TTL_S = 5.0

#: Silence after which a process of the own VM counts as ended, in seconds.
PROCESS_SILENCE_S = 2.0

#: Default allowance for clock drift, in ms.
DEFAULT_SKEW_MS = 500


def clock_skew(settings: Settings) -> float:
    """Return the allowance for clock drift and short pauses, in seconds."""
    return settings.get('max_clock_skew_ms', DEFAULT_SKEW_MS) / 1000
