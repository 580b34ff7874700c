"""The text format of the metrics page."""

from collections.abc import Mapping

__all__ = ['exposition']

PREFIX = 'rosemaryweir'


def exposition(
    counters: Mapping[str, int],
    gauges: Mapping[str, float],
) -> bytes:
    """Return counters and gauges, a line each.

    Examples
    --------
    >>> exposition({'hedges': 2}, {'requests': 1}).decode().splitlines()
    ['rosemaryweir_hedges_total 2', 'rosemaryweir_requests 1']
    """
    lines = [
        *(
            f'{PREFIX}_{name}_total {count}'
            for name, count in sorted(counters.items())
        ),
        *(f'{PREFIX}_{name} {size}' for name, size in sorted(gauges.items())),
        '',
    ]
    return '\n'.join(lines).encode()
