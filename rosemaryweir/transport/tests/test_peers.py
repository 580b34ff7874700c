"""Tests of the Peer port: delivery, expiry and loss of messages."""

import asyncio
import time

import zmq
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from rosemaryweir.node.action import SendPeer
from rosemaryweir.node.state import NodeUid
from rosemaryweir.transport import peers
from rosemaryweir.transport.envelope import decode_envelope, encode_envelope
from rosemaryweir.transport.peers import ZmqPeerPort

UID = NodeUid('vm-1', 'entry', 100)
CANCEL = {'kind': 'cancel_query', 'query': 'q-1', 'attempts': ['a', 'b']}


class Clock:
    """The monotonic clock, shifted by an offset."""

    offset = 0.0

    def monotonic(self):
        return time.monotonic() + self.offset


class Peer:
    def __init__(self, uid=UID):
        self.clock = Clock()
        self.events = asyncio.Queue()
        self.port = ZmqPeerPort(uid, self.events.put_nowait, self.clock)

    def start(self, address='127.0.0.1:*'):
        self.address = self.port.start(address)
        return self

    def send(self, to, message=CANCEL, seconds=5.0):
        deadline = self.clock.monotonic() + seconds
        self.port.send(SendPeer('vm-2/leaf', to, message, deadline))

    async def wait_for_count(self, name, number=1):
        while self.port.counts[name] < number:
            await asyncio.sleep(0.01)


def run_with_timeout(scenario):
    async def scenario_with_timeout():
        async with asyncio.timeout(20):
            await scenario()

    asyncio.run(scenario_with_timeout())


def test_messages_arrive_in_order_with_sender_and_remaining_time():
    async def scenario():
        sender, receiver = Peer().start(), Peer().start()
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
            sender.send(receiver.address, {**CANCEL, 'query': str(number)})
        sender.send(receiver.address, sub_query, seconds=1.0)
        events = [await receiver.events.get() for _ in range(201)]
        queries = [event.message['query'] for event in events[:200]]
        assert queries == [str(number) for number in range(200)]
        assert events[0].sender == 'vm-1/entry'
        assert events[0].incarnation == 100
        assert events[-1].topic == 'sub_query'
        assert 0 < events[-1].message['remaining_ms'] <= 1000
        sender.port.close()
        receiver.port.close()

    run_with_timeout(scenario)


def test_no_message_stays_queued_for_a_dead_peer(monkeypatch):
    monkeypatch.setattr(peers, 'MAX_QUEUED_MESSAGES', 10)

    async def scenario():
        receiver = Peer().start()
        address = receiver.address
        receiver.port.close()
        sender = Peer().start()
        for _ in range(15):
            sender.send(address, seconds=0.1)
        assert sender.port.counts['overflow'] == 5
        await sender.wait_for_count('stale_unsent', 10)
        receiver = Peer().start(address)
        sender.send(address, {**CANCEL, 'query': 'after'})
        event = await receiver.events.get()
        assert event.message['query'] == 'after'
        assert receiver.events.empty()
        sender.port.close()
        receiver.port.close()

    run_with_timeout(scenario)


def test_loss_of_a_connected_peer_is_detected():
    async def scenario():
        sender, receiver = Peer().start(), Peer().start()
        sender.send(receiver.address)
        await receiver.events.get()
        receiver.port.close()
        await asyncio.sleep(0.1)
        sent = sender.port.counts['sent']
        sender.send(receiver.address, seconds=0.2)
        await sender.wait_for_count('stale_unsent')
        assert sender.port.counts['sent'] == sent
        sender.port.close()

    run_with_timeout(scenario)


def test_message_of_an_earlier_incarnation_is_dropped():
    async def scenario():
        old, receiver = Peer().start(), Peer().start()
        new = Peer(UID._replace(incarnation=200)).start()
        old.send(receiver.address)
        assert (await receiver.events.get()).incarnation == 100
        new.send(receiver.address)
        assert (await receiver.events.get()).incarnation == 200
        old.send(receiver.address)
        await receiver.wait_for_count('old_incarnation')
        assert receiver.events.empty()
        for peer in (old, new, receiver):
            peer.port.close()

    run_with_timeout(scenario)


def test_message_that_expired_at_the_receiver_is_dropped():
    async def scenario():
        sender, receiver = Peer().start(), Peer().start()
        sender.send(receiver.address)
        await receiver.events.get()
        # Simulates a receiver that was paused for 2 s before it read the
        # message from its socket.
        receiver.clock.offset = 2.0
        sender.send(receiver.address, seconds=1.0)
        await receiver.wait_for_count('stale')
        sender.send(receiver.address, {**CANCEL, 'query': 'live'}, seconds=3.0)
        event = await receiver.events.get()
        assert event.message['query'] == 'live'
        sender.port.close()
        receiver.port.close()

    run_with_timeout(scenario)


def test_malformed_frames_are_counted_and_do_not_block_valid_ones():
    async def scenario():
        receiver, sender = Peer().start(), Peer().start()
        context = zmq.Context()
        socket = context.socket(zmq.DEALER)
        socket.connect(f'tcp://{receiver.address}')
        for frame in (b'', b'junk', b'\x96\xc1', b'\xc0' * 1000):
            socket.send(frame)
        socket.send(encode_envelope(UID, 0.0, 1.0, {'kind': 'nothing'}))
        socket.send(encode_envelope(UID, 0.0, 1.0, {'kind': 'cancel_query'}))
        await receiver.wait_for_count('malformed', 6)
        sender.send(receiver.address)
        assert (await receiver.events.get()).topic == 'cancel_query'
        socket.close(linger=0)
        context.term()
        sender.port.close()
        receiver.port.close()

    run_with_timeout(scenario)


def test_socket_of_an_idle_peer_is_closed(monkeypatch):
    monkeypatch.setattr(peers, 'IDLE_TIMEOUT_S', 0.1)

    async def scenario():
        sender, receiver = Peer().start(), Peer().start()
        sender.send(receiver.address)
        await receiver.events.get()
        while sender.port._connections:
            await asyncio.sleep(0.05)
        sender.send(receiver.address)
        await receiver.events.get()
        sender.port.close()
        receiver.port.close()

    run_with_timeout(scenario)


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=60), st.integers(0, 80))
def test_decoding_arbitrary_frames_raises_nothing(inserted, position):
    frame = encode_envelope(UID, 1.0, 1.0, CANCEL)
    assert is_successful(decode_envelope(frame))
    assert not is_successful(decode_envelope(inserted))
    decode_envelope(frame[:position] + inserted + frame[position:])
