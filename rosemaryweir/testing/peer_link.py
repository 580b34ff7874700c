"""Delivers messages between processes, with delay and loss."""

from collections.abc import Callable
from typing import Any

from rosemaryweir.node.action import SendPeer
from rosemaryweir.node.event import Event, PeerMessage
from rosemaryweir.testing.network import Network
from rosemaryweir.testing.process import Process
from rosemaryweir.testing.scheduler import Scheduler

__all__ = ['PeerLink']


class PeerLink:
    """Implements the peer port of every process.

    Parameters
    ----------
    scheduler : Scheduler
        Virtual time.
    network : Network
        Delays, loss and partitions.
    deliver : callable
        Called as ``(process, event)`` for each message that arrives.
    size_of : callable, optional
        Returns the size of a message in bytes; without it, nothing is
        counted.

    Attributes
    ----------
    sent, sent_bytes : dict
        Number and bytes of messages sent, by the name of the sender.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        network: Network,
        deliver: Callable[[Process, Event], None],
        size_of: Callable[[Any], int] | None,
    ) -> None:
        self.scheduler = scheduler
        self.network = network
        self.deliver = deliver
        self.size_of = size_of
        self.sent: dict[str, int] = {}
        self.sent_bytes: dict[str, int] = {}
        self._listening: dict[str, Process] = {}

    def add(self, process: Process) -> None:
        """Make a process the receiver at the peer address of its role."""
        role = process.node.state.uid.role
        addresses: dict[str, Any] = {**process.settings['addresses']}
        self._listening[addresses[f'{role}_peer']] = process

    def send(self, process: Process, action: SendPeer) -> None:
        """Send a message of a process; it may be lost.

        Messages within a VM are never lost.
        """
        self._count(process.name, action)
        receiver = self._listening.get(action.address)
        if receiver is None or receiver.name != action.to:
            return
        local = receiver.settings['vm'] == process.settings['vm']
        lost = self.network.lost(process.settings, receiver.settings)
        if lost and not local:
            return
        uid = process.node.state.uid
        event = PeerMessage(uid.name, uid.incarnation, action.message)
        delay = self.network.delay(
            process.settings['domain'],
            receiver.settings['domain'],
        )
        self.scheduler.after(delay, self.deliver, receiver, event)

    def _count(self, sender: str, action: SendPeer) -> None:
        if self.size_of is None:
            return
        size = self.size_of(action.message)
        self.sent[sender] = self.sent.get(sender, 0) + 1
        self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + size
