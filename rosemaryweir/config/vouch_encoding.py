"""Who vouched how long ago, as bit masks over a sorted list of members."""

from collections.abc import Collection, Iterator, Mapping, Sequence

__all__ = [
    'decode_members',
    'decode_vouch_ages',
    'encode_members',
    'encode_vouch_ages',
]

#: Age beyond which a vouch is worth nothing, in seconds.
LAST_S = 2.5

#: Step in which ages are rounded up, in seconds.
STEP_S = 0.1

#: The same where there are more members than `FEW`, to bound the masks.
LONG_STEP_S = 0.25
FEW = 64


def encode_members(members: Sequence[str], having: Collection[str]) -> str:
    """Return the mask of those members that are among `having`.

    Examples
    --------
    >>> (
    ...     encode_members(['a', 'b', 'c'], {'a', 'c'}),
    ...     decode_members(['a', 'b', 'c'], '5'),
    ... )
    ('5', ['a', 'c'])
    """
    bits = (1 << place for place, vm in enumerate(members) if vm in having)
    return f'{sum(bits):x}'


def decode_members(members: Sequence[str], mask: str) -> list[str]:
    """Return the members that a mask holds."""
    held = int(mask, 16)
    return [vm for place, vm in enumerate(members) if held >> place & 1]


def encode_vouch_ages(
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
    >>> masks = encode_vouch_ages(['a', 'b'], {'a': 9.95, 'b': 9.85}, 10.0)
    >>> masks[0], masks[1]
    ('1', '3')
    >>> decode_vouch_ages(['a', 'b'], masks)
    {'a': 0.1, 'b': 0.2}
    """
    return [
        encode_members(
            members,
            {vm for vm, since in times.items() if now - since <= limit},
        )
        for limit in _limits(len(members))
    ]


def decode_vouch_ages(
    members: Sequence[str],
    masks: Sequence[str],
) -> dict[str, float]:
    """Return the age of each vouch, in seconds, rounded up to a step."""
    ages: dict[str, float] = {}
    for mask, limit in zip(masks, _limits(len(members)), strict=False):
        ages = {**dict.fromkeys(decode_members(members, mask), limit), **ages}
    return ages


def _limits(size: int) -> Iterator[float]:
    step = STEP_S if size <= FEW else LONG_STEP_S
    return (step * (place + 1) for place in range(round(LAST_S / step)))
