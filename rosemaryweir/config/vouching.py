"""Who vouched how long ago, as bit masks over a sorted list of members."""

from collections.abc import Collection, Iterator, Mapping, Sequence

__all__ = [
    'STEPS',
    'STEP_S',
    'mask_of',
    'members_of',
    'vouch_ages',
    'vouch_masks',
]

#: Step in which ages are rounded up, in seconds.
STEP_S = 0.25

#: Number of steps; an older vouch is worth nothing.
STEPS = 10


def mask_of(members: Sequence[str], having: Collection[str]) -> str:
    """Return the mask of those members that are among `having`.

    Examples
    --------
    >>> mask_of(['a', 'b', 'c'], {'a', 'c'}), members_of(['a', 'b', 'c'], '5')
    ('5', ['a', 'c'])
    """
    bits = (1 << place for place, vm in enumerate(members) if vm in having)
    return f'{sum(bits):x}'


def members_of(members: Sequence[str], mask: str) -> list[str]:
    """Return the members that a mask holds."""
    held = int(mask, 16)
    return [vm for place, vm in enumerate(members) if held >> place & 1]


def vouch_masks(
    members: Sequence[str],
    times: Mapping[str, float],
    now: float,
) -> list[str]:
    """Return the masks: the i-th holds those of age up to i + 1 steps.

    Parameters
    ----------
    members : sequence of str
        Names in the order that both ends know.
    times : mapping of str to float
        When each vouched.
    now : float
        Present time.

    Examples
    --------
    >>> masks = vouch_masks(['a', 'b'], {'a': 9.9, 'b': 9.6}, 10.0)
    >>> masks[0], masks[1]
    ('1', '3')
    >>> vouch_ages(['a', 'b'], masks)
    {'a': 0.25, 'b': 0.5}
    """
    return [
        mask_of(
            members,
            {vm for vm, since in times.items() if now - since <= limit},
        )
        for limit in _limits()
    ]


def vouch_ages(
    members: Sequence[str],
    masks: Sequence[str],
) -> dict[str, float]:
    """Return the age of each vouch, in seconds, rounded up to a step."""
    ages: dict[str, float] = {}
    for mask, limit in zip(masks, _limits(), strict=False):
        ages = {**dict.fromkeys(members_of(members, mask), limit), **ages}
    return ages


def _limits() -> Iterator[float]:
    return (STEP_S * (step + 1) for step in range(STEPS))
