"""Peers over zmq: loss is seen, nothing queues for the dead."""

import asyncio
import time

import zmq
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from rosemaryweir.node.action import SendPeer
from rosemaryweir.node.state import NodeUid
from rosemaryweir.transport import peers
from rosemaryweir.transport.envelope import open_envelope, seal
from rosemaryweir.transport.peers import PeerPort

UID = NodeUid('vm-1', 'entry', 100)
CANCEL = {'kind': 'cancel_query', 'query': 'q-1', 'attempts': ['a', 'b']}


class Clock:
    """The real time, moved by an offset."""

    offset = 0.0

    def monotonic(self):
        return time.monotonic() + self.offset


class Peer:
    def __init__(self, uid=UID):
        self.clock = Clock()
        self.events = asyncio.Queue()
        self.port = PeerPort(uid, self.events.put_nowait, self.clock)

    def start(self, address='127.0.0.1:*'):
        self.address = self.port.start(address)
        return self

    def send(self, to, message=CANCEL, seconds=5.0):
        deadline = self.clock.monotonic() + seconds
        self.port.send(SendPeer('vm-2/leaf', to, message, deadline))

    async def reached(self, name, number=1):
        while self.port.counts[name] < number:
            await asyncio.sleep(0.01)


def run(scenario):
    async def bounded():
        async with asyncio.timeout(20):
            await scenario()

    asyncio.run(bounded())


def test_messages_arrive_in_order_with_sender_and_time_left():
    async def scenario():
        sender, taker = Peer().start(), Peer().start()
        sub_query = {
            'kind': 'sub_query',
            'query': 'q',
            'service': 's',
            'layout': 1,
            'version': 2,
            'text': 't',
            'remaining_ms': 60_000.0,
            'generation': 1,
            'view': 1,
            'pieces': [{'attempt': 'a', 'shard': 's', 'target': 't'}],
        }
        for number in range(200):
            sender.send(taker.address, {**CANCEL, 'query': str(number)})
        sender.send(taker.address, sub_query, seconds=1.0)
        events = [await taker.events.get() for _ in range(201)]
        queries = [event.message['query'] for event in events[:200]]
        assert queries == [str(number) for number in range(200)]
        assert events[0].sender == 'vm-1/entry'
        assert events[0].incarnation == 100
        assert events[-1].topic == 'sub_query'
        assert 0 < events[-1].message['remaining_ms'] <= 1000
        sender.port.close()
        taker.port.close()

    run(scenario)


def test_nothing_queues_for_a_dead_peer(monkeypatch):
    monkeypatch.setattr(peers, 'MAX_WAITING', 10)

    async def scenario():
        taker = Peer().start()
        address = taker.address
        taker.port.close()
        sender = Peer().start()
        for _ in range(15):
            sender.send(address, seconds=0.1)
        assert sender.port.counts['overflow'] == 5
        await sender.reached('stale_unsent', 10)
        taker = Peer().start(address)
        sender.send(address, {**CANCEL, 'query': 'after'})
        event = await taker.events.get()
        assert event.message['query'] == 'after'
        assert taker.events.empty()
        sender.port.close()
        taker.port.close()

    run(scenario)


def test_peer_that_dies_with_the_connection_open_is_noticed():
    async def scenario():
        sender, taker = Peer().start(), Peer().start()
        sender.send(taker.address)
        await taker.events.get()
        taker.port.close()
        await asyncio.sleep(0.1)
        sent = sender.port.counts['sent']
        sender.send(taker.address, seconds=0.2)
        await sender.reached('stale_unsent')
        assert sender.port.counts['sent'] == sent
        sender.port.close()

    run(scenario)


def test_message_of_an_earlier_incarnation_is_dropped():
    async def scenario():
        old, taker = Peer().start(), Peer().start()
        new = Peer(UID._replace(incarnation=200)).start()
        old.send(taker.address)
        assert (await taker.events.get()).incarnation == 100
        new.send(taker.address)
        assert (await taker.events.get()).incarnation == 200
        old.send(taker.address)
        await taker.reached('old_incarnation')
        assert taker.events.empty()
        for peer in (old, new, taker):
            peer.port.close()

    run(scenario)


def test_message_that_waited_too_long_at_the_receiver_is_dropped():
    async def scenario():
        sender, taker = Peer().start(), Peer().start()
        sender.send(taker.address)
        await taker.events.get()
        # The receiver was paused for 2 s with the message in its socket.
        taker.clock.offset = 2.0
        sender.send(taker.address, seconds=1.0)
        await taker.reached('stale')
        sender.send(taker.address, {**CANCEL, 'query': 'live'}, seconds=3.0)
        event = await taker.events.get()
        assert event.message['query'] == 'live'
        sender.port.close()
        taker.port.close()

    run(scenario)


def test_junk_is_counted_and_disturbs_nothing():
    async def scenario():
        taker, sender = Peer().start(), Peer().start()
        context = zmq.Context()
        socket = context.socket(zmq.DEALER)
        socket.connect(f'tcp://{taker.address}')
        for junk in (b'', b'junk', b'\x96\xc1', b'\xc0' * 1000):
            socket.send(junk)
        socket.send(seal(UID, 0.0, 1.0, {'kind': 'nothing'}))
        socket.send(seal(UID, 0.0, 1.0, {'kind': 'cancel_query'}))
        await taker.reached('malformed', 6)
        sender.send(taker.address)
        assert (await taker.events.get()).topic == 'cancel_query'
        socket.close(linger=0)
        context.term()
        sender.port.close()
        taker.port.close()

    run(scenario)


def test_socket_of_an_idle_peer_is_closed(monkeypatch):
    monkeypatch.setattr(peers, 'IDLE_SECONDS', 0.1)

    async def scenario():
        sender, taker = Peer().start(), Peer().start()
        sender.send(taker.address)
        await taker.events.get()
        while sender.port._outlets:
            await asyncio.sleep(0.05)
        sender.send(taker.address)
        await taker.events.get()
        sender.port.close()
        taker.port.close()

    run(scenario)


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=60), st.integers(0, 80))
def test_no_frame_raises(noise, place):
    frame = seal(UID, 1.0, 1.0, CANCEL)
    assert is_successful(open_envelope(frame))
    assert not is_successful(open_envelope(noise))
    open_envelope(frame[:place] + noise + frame[place:])
