"""Which VMs callers are told to use."""

from collections.abc import Sequence

from rosemaryweir.presence.members import PeerNews

__all__ = ['caller_addresses']

#: Addresses of one answer.
MOST_NAMED = 64
#: VMs of the caller's failure domain without which others are named as well:
#: a caller needs somewhere to go when one of them fails.
LEAST_NEAR = 2
#: A VM this much busier than the idlest one is left out, as a share of its
#: processor.
BUSY_MARGIN = 0.4


def caller_addresses(serving: Sequence[PeerNews], domain: str) -> list[str]:
    """Return the addresses to use, of VMs that serve.

    Those in the caller's own failure domain, where there are enough of them:
    the way is shorter, and nothing crosses failure domains twice.

    Parameters
    ----------
    serving : sequence of PeerNews
        VMs that are ready and not leaving.
    domain : str
        Failure domain of the caller.
    """
    if not serving:
        return []
    least = min(news.load for news in serving)
    calm = [news for news in serving if news.load <= least + BUSY_MARGIN]
    near = [news for news in calm if news.domain == domain]
    named = near if len(near) >= LEAST_NEAR else calm
    ranked = sorted(named, key=lambda news: (news.load, news.name))
    return [news.caller_address for news in ranked[:MOST_NAMED]]
