"""Exchange of views between agents, as deltas where possible."""

from collections.abc import Iterator, Mapping
from random import Random

from rosemaryweir.membership.agent_state import agent_state_of
from rosemaryweir.membership.view_delta import apply_delta, view_delta
from rosemaryweir.node.action import Action, SendPeer
from rosemaryweir.node.event import PeerMessage
from rosemaryweir.node.part import Part, handles, part_of
from rosemaryweir.node.state import NodeState
from rosemaryweir.schema.generated.control import (
    Fetch,
    View,
    ViewDelta,
    Views,
)

__all__ = ['ViewSpread', 'ViewRequests']

#: Views that one message carries at most.
MAX_VIEWS_SENT = 4

#: Wait for a requested view before another peer is asked, in seconds.
ANSWER_TIMEOUT_S = 0.3

#: Time after which an unsent message is dropped, in seconds.
SEND_TIMEOUT_S = 0.5


class ViewRequests:
    """Latest requests of views, so that only one peer is asked for each.

    Examples
    --------
    >>> requests = ViewRequests()
    >>> requests.record({'a': 4}, 1.0), requests.record({'a': 4}, 1.1)
    (True, False)
    >>> requests.record({'a': 5}, 1.1), requests.record({'a': 4}, 2.0)
    (True, True)
    """

    def __init__(self) -> None:
        self._requested: dict[str, tuple[int, float]] = {}

    def record(self, newer: Mapping[str, int], now: float) -> bool:
        """Return whether to request any of these versions, and record it."""
        due = {
            domain: (version, now)
            for domain, version in newer.items()
            if not self._is_pending(domain, version, now)
        }
        self._requested.update(due)
        return bool(due)

    def _is_pending(self, domain: str, version: int, now: float) -> bool:
        requested, when = self._requested.get(domain, (0, now))
        return requested >= version and now < when + ANSWER_TIMEOUT_S


@part_of('agent')
class ViewSpread(Part):
    """Send peers the views that they lack, and adopt the views they send.

    Notes
    -----
    A peer that has one of the latest versions gets a delta.  It checks the
    digest of the result, and requests the whole view if that differs.
    """

    def __init__(self, state: NodeState, rng: Random) -> None:
        super().__init__(state, rng)
        self.agent_state = agent_state_of(state)

    @handles(PeerMessage, 'fetch')
    def send_views(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Send the views that a peer lacks."""
        message: Fetch = event.message  # type: ignore[assignment]
        known = message['views']
        newer = [
            view
            for domain, view in self.state.views.items()
            if view['version'] > known.get(domain, 0)
        ][:MAX_VIEWS_SENT]
        deltas = [
            delta
            for delta in (self._delta(view, known) for view in newer)
            if delta is not None
        ]
        in_deltas = {delta['domain'] for delta in deltas}
        whole = [view for view in newer if view['domain'] not in in_deltas]
        if newer:
            views = Views(kind='views', views=whole, deltas=deltas)
            yield from self._send(event.sender, views, now)

    @handles(PeerMessage, 'views')
    def take_views(self, event: PeerMessage, now: float) -> Iterator[Action]:
        """Adopt views; request in full those whose delta can't be applied."""
        message: Views = event.message  # type: ignore[assignment]
        self.agent_state.adopt_views(message['views'], now)
        failed = [
            delta['domain']
            for delta in message.get('deltas', ())
            if not self._apply(delta, now)
        ]
        if failed:
            fetch = Fetch(
                kind='fetch',
                generation=self.state.config['generation'],
                chunk=0,
                views={
                    **self.state.view_versions(),
                    **dict.fromkeys(failed, 0),
                },
            )
            yield from self._send(event.sender, fetch, now)

    def _delta(self, view: View, known: Mapping[str, int]) -> ViewDelta | None:
        domain = view['domain']
        base = self.agent_state.history.find(domain, known.get(domain, 0))
        return None if base is None else view_delta(base, view)

    def _apply(self, delta: ViewDelta, now: float) -> bool:
        known = self.state.views.get(delta['domain'])
        if known is None:
            return False
        if known['version'] >= delta['version']:
            return True
        view = apply_delta(known, delta)
        if view is None:
            return False
        self.agent_state.adopt_views([view], now)
        return True

    def _send(
        self,
        sender: str,
        message: Mapping[str, object],
        now: float,
    ) -> Iterator[SendPeer]:
        member = self.agent_state.roster.member(sender.partition('/')[0])
        if member is not None:
            address = member['agent_peer']
            yield SendPeer(sender, address, message, now + SEND_TIMEOUT_S)
