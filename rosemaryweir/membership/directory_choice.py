"""Choice of the VMs that a directory answer lists, best first."""

from collections.abc import Iterable, Mapping
from random import Random
from typing import NamedTuple

from rosemaryweir.membership.timing import PULSE_LIFETIME_S
from rosemaryweir.schema.generated.control import Member, Pulse
from rosemaryweir.schema.generated.http import DirectoryEntry

__all__ = ['ReceivedPulse', 'choose_vms', 'usable']

#: VMs that one answer lists at most.
MAX_ANSWER_VMS = 6

#: Cost of a VM outside the caller's failure domain, as a share of full load.
OTHER_DOMAIN_COST = 0.3

#: Cost of each second of a status's age, as a share of full load.
AGE_COST_PER_S = 0.1

#: Largest random cost; it keeps callers from all choosing the same VM.
RANDOM_COST = 0.25


class ReceivedPulse(NamedTuple):
    """The status that a VM sent, and when it was received."""

    pulse: Pulse
    received_at: float


def usable(member: Member, received: ReceivedPulse | None, now: float) -> bool:
    """Return whether an answer may list a VM.

    Parameters
    ----------
    member : Member
        The VM as recorded in its view.
    received : ReceivedPulse or None
        Its latest status.
    now : float
        Present time.

    Returns
    -------
    bool
        False for a VM that is not alive, is leaving or fenced, or has sent
        no status for `PULSE_LIFETIME_S`.
    """
    if member['state'] != 'alive' or received is None:
        return False
    recent = now < received.received_at + PULSE_LIFETIME_S
    return (
        recent and received.pulse['serving'] and not received.pulse['leaving']
    )


def choose_vms(
    members: Iterable[Member],
    pulses: Mapping[str, ReceivedPulse],
    domain: str,
    now: float,
    rng: Random,
) -> list[DirectoryEntry]:
    """Return the VMs to use, best first.

    The cost of a VM is its load, plus a penalty for another failure domain
    than the caller's, plus one for the age of its status.  A random part
    spreads callers over VMs of similar cost.

    Parameters
    ----------
    members : iterable of Member
        VMs of the failure domains that take work.
    pulses : mapping of str to ReceivedPulse
        The latest status, by name of the VM.
    domain : str
        Failure domain of the caller; empty when it names none.
    now : float
        Present time.
    rng : random.Random
        Source of chance.
    """

    def cost(member: Member) -> float:
        received = pulses[member['vm']]
        away = bool(domain) and member['domain'] != domain
        return (
            received.pulse['load']
            + OTHER_DOMAIN_COST * away
            + AGE_COST_PER_S * (now - received.received_at)
            + RANDOM_COST * rng.random()
        )

    unique = {
        member['vm']: member
        for member in members
        if usable(member, pulses.get(member['vm']), now)
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
