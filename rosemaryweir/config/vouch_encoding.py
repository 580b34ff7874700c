"""Encode the ages of vouches as bit masks over a sorted list of members."""

from collections.abc import Collection, Iterator, Mapping, Sequence

__all__ = [
    'decode_members',
    'decode_vouch_ages',
    'encode_members',
    'encode_vouch_ages',
]

#: Maximum age of an encoded vouch, in seconds.
MAX_AGE_S = 2.5

#: Step to which ages are rounded up, in seconds.
FINE_STEP_S = 0.1

#: The same for more than `MAX_FINE_MEMBERS` members, to limit the total size
#: of the masks.
COARSE_STEP_S = 0.25
MAX_FINE_MEMBERS = 64


def encode_members(members: Sequence[str], chosen: Collection[str]) -> str:
    """Return the bit mask, in hex, of the members that are in `chosen`.

    Examples
    --------
    >>> (
    ...     encode_members(['a', 'b', 'c'], {'a', 'c'}),
    ...     decode_members(['a', 'b', 'c'], '5'),
    ... )
    ('5', ['a', 'c'])
    """
    bits = (1 << index for index, vm in enumerate(members) if vm in chosen)
    return f'{sum(bits):x}'


def decode_members(members: Sequence[str], mask: str) -> list[str]:
    """Return the members whose bits are set in a mask."""
    mask_bits = int(mask, 16)
    return [vm for index, vm in enumerate(members) if mask_bits >> index & 1]


def encode_vouch_ages(
    members: Sequence[str],
    times: Mapping[str, float],
    now: float,
) -> list[str]:
    """Return one mask per age limit; the i-th covers up to i + 1 steps.

    Parameters
    ----------
    members : sequence of str
        Names, in the same order at sender and receiver.
    times : mapping of str to float
        Time at which each member vouched.
    now : float
        Current time.

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
        for limit in _age_limits(len(members))
    ]


def decode_vouch_ages(
    members: Sequence[str],
    masks: Sequence[str],
) -> dict[str, float]:
    """Decode the masks to the age of each vouch, rounded up, in seconds."""
    ages: dict[str, float] = {}
    for mask, limit in zip(masks, _age_limits(len(members)), strict=False):
        ages = {**dict.fromkeys(decode_members(members, mask), limit), **ages}
    return ages


def _age_limits(size: int) -> Iterator[float]:
    step = FINE_STEP_S if size <= MAX_FINE_MEMBERS else COARSE_STEP_S
    return (step * (index + 1) for index in range(round(MAX_AGE_S / step)))
