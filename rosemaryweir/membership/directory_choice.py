"""Which VMs the directory names, best first."""

from collections.abc import Iterable, Mapping
from random import Random
from typing import NamedTuple

from rosemaryweir.membership.timing import PULSE_LIFETIME_S
from rosemaryweir.schema.generated.control import Member, Pulse
from rosemaryweir.schema.generated.http import DirectoryEntry

__all__ = ['ReceivedPulse', 'choose_vms', 'usable']

#: VMs that one answer names.
MAX_ANSWER_VMS = 6

#: Load that a VM of another failure domain must be below, as a share.
OTHER_DOMAIN_COST = 0.3

#: Load that each second without news stands for.
AGE_COST_PER_S = 0.1

#: Spread of the random part, so that callers don't all pick one VM.
RANDOM_COST = 0.25


class ReceivedPulse(NamedTuple):
    """What a VM said of itself, and when."""

    pulse: Pulse
    received_at: float


def usable(member: Member, heard: ReceivedPulse | None, now: float) -> bool:
    """Return whether a VM may be named.

    Parameters
    ----------
    member : Member
        The VM as its view shows it.
    heard : Heard or None
        The latest that is known of it.
    now : float
        Present time.

    Returns
    -------
    bool
        False for a VM that is not alive, leaving, fenced, or silent for
        longer than `PULSE_LIFETIME_S`.
    """
    if member['state'] != 'alive' or heard is None:
        return False
    recent = now < heard.received_at + PULSE_LIFETIME_S
    return recent and heard.pulse['serving'] and not heard.pulse['leaving']


def choose_vms(
    members: Iterable[Member],
    heard: Mapping[str, ReceivedPulse],
    domain: str,
    now: float,
    rng: Random,
) -> list[DirectoryEntry]:
    """Return the VMs to use, best first.

    Load, the failure domain of the caller and the age of the news are
    weighed; a random part spreads callers over VMs of like cost.

    Parameters
    ----------
    members : iterable of Member
        VMs of the failure domains that take work.
    heard : mapping of str to ReceivedPulse
        The latest news, by name of the VM.
    domain : str
        Failure domain of the caller; empty when it names none.
    now : float
        Present time.
    rng : random.Random
        Source of chance.
    """

    def cost(member: Member) -> float:
        news = heard[member['vm']]
        away = bool(domain) and member['domain'] != domain
        return (
            news.pulse['load']
            + OTHER_DOMAIN_COST * away
            + AGE_COST_PER_S * (now - news.received_at)
            + RANDOM_COST * rng.random()
        )

    unique = {
        member['vm']: member
        for member in members
        if usable(member, heard.get(member['vm']), now)
    }
    ranked = sorted(unique.values(), key=cost)
    return [
        DirectoryEntry(
            vm=member['vm'],
            domain=member['domain'],
            address=member['entry_http'],
        )
        for member in ranked[:MAX_ANSWER_VMS]
    ]
