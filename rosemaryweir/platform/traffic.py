"""The gateway with its ports: callers on one side, targets on the other."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Any

from rosemaryweir.gateway.action import (
    Action,
    CallerResponse,
    CloseTargetConnection,
    DecodedReply,
    InboundRequest,
    LogEntry,
    OpenTargetConnection,
    SendAttempt,
)
from rosemaryweir.gateway.gateway import Gateway
from rosemaryweir.gateway.quota import VmInfo, slack_share
from rosemaryweir.gateway.retry_budget import RetryBudgetPolicy
from rosemaryweir.platform.belief import Belief
from rosemaryweir.platform.callers import CallerFront
from rosemaryweir.platform.settings import VmSettings
from rosemaryweir.platform.targets import TargetLinks
from rosemaryweir.telemetry.histogram import HistogramSet
from rosemaryweir.transport.limits import HttpLimits

__all__ = ['Traffic']

#: Largest body of a caller before a configuration sets the limit, in bytes.
FIRST_BODY_BYTES = 262_144
MS_PER_SECOND = 1000
#: Time after the start in which a VM may not know all others yet, and takes
#: no part of what they may do together, in seconds: beats find them in 3 s.
SETTLE_S = 4.0
NEVER = float('inf')

Write = Callable[[int, Mapping[str, Any]], None]


class Traffic:
    """Carries out what the gateway decides.

    Parameters
    ----------
    settings : VmSettings
        Checked settings.
    write : callable
        Takes log events by number.
    rng : random.Random
        Source of chance.

    Attributes
    ----------
    latencies : HistogramSet
        Latency of answers by route and status.
    reach : dict of str to float
        Share of the shards that each failure domain holds targets of.
    """

    def __init__(self, settings: VmSettings, write: Write, rng: Random) -> None:
        rule = RetryBudgetPolicy(
            settings.extra_ratio,
            settings.extra_slack,
            settings.extra_window,
        )
        limits = HttpLimits(body_bytes=FIRST_BODY_BYTES)
        own = VmInfo(settings.name, settings.domain, settings.capacity)
        self.latencies = HistogramSet()
        self.reach: dict[str, float] = {}
        self.gateway = Gateway(own, rule, rng)
        self.front = CallerFront(self._ask, self._left, limits)
        self._links = TargetLinks(self._opened, self._replied, self._broken)
        self._write = write
        self._timer: asyncio.TimerHandle | None = None
        self._started = _now()
        self._wakes_at = NEVER
        self._performers: Mapping[type, Callable[[Any], None]] = {
            SendAttempt: self._links.send,
            OpenTargetConnection: self._links.open,
            CloseTargetConnection: self._links.close,
            CallerResponse: self._answer,
            LogEntry: self._note,
        }

    def limit(self, settings: VmSettings) -> None:
        """Take settings that were read again."""
        rule = self.gateway.retry_policy
        rule.ratio = settings.extra_ratio
        rule.slack = settings.extra_slack
        rule.window = settings.extra_window

    def share(self, alive: Iterable[VmInfo], known: Iterable[VmInfo]) -> None:
        """Take the VMs that share what the targets bear.

        Parameters
        ----------
        alive : iterable of VmPlace
            Those that have connections to targets.
        known : iterable of VmPlace
            Those that may spend extra sends, silent ones among them.
        """
        self.gateway.dispatcher.connection_quota.update(alive)
        settled = _now() - self._started >= SETTLE_S
        share = slack_share(self.gateway.dispatcher.connection_quota.own, known)
        self.gateway.retry_policy.vm_share = share if settled else float(0)

    def apply(self, belief: Belief) -> None:
        """Put what is believed in force."""
        config = belief.config
        if config is not None and config is not self.gateway.config:
            self.front.http.limits = HttpLimits(*config.limits)
            self._perform(self.gateway.configure(config))
        self._perform(
            self.gateway.update_targets(
                belief.targets, belief.domains_out, _now()
            ),
        )
        self.reach = self.gateway.domain_coverage()

    def _ask(self, ask: InboundRequest) -> None:
        self._perform(self.gateway.handle_request(ask, _now()))

    def _left(self, req: int) -> None:
        self._perform(self.gateway.caller_disconnected(req, _now()))

    def _opened(self, conn: int) -> None:
        self._perform(self.gateway.connection_opened(conn, _now()))

    def _replied(
        self,
        conn: int,
        reply: DecodedReply,
        reusable: bool,
        keep_for: float | None,
    ) -> None:
        self._perform(
            self.gateway.reply_received(
                conn, reply, reusable, keep_for, _now()
            ),
        )

    def _broken(self, conn: int, reason: str) -> None:
        self._perform(self.gateway.connection_lost(conn, reason, _now()))

    def _wake(self) -> None:
        self._timer = None
        self._wakes_at = NEVER
        self._perform(self.gateway.wake(_now()))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            self._performers[type(action)](action)
        due = self.gateway.next_wake()
        if due < self._wakes_at:
            if self._timer is not None:
                self._timer.cancel()
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(due, self._wake)
            self._wakes_at = due

    def _answer(self, answer: CallerResponse) -> None:
        self.front.answer(answer)
        labels = {'route': answer.route, 'status': str(answer.status)}
        took_ms = answer.duration * MS_PER_SECOND
        self.latencies.record('request', took_ms, labels)

    def _note(self, note: LogEntry) -> None:
        self._write(note.number, note.fields)


def _now() -> float:
    return asyncio.get_running_loop().time()
