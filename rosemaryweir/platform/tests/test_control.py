"""What a VM believes while the store is away, for it alone or for all."""

import asyncio
from random import Random

from rosemaryweir.catalog.relay import RelayAnswer
from rosemaryweir.catalog.table import Change
from rosemaryweir.gateway.fleet import Fleet
from rosemaryweir.platform.control import Control
from rosemaryweir.platform.settings import parse_settings
from rosemaryweir.platform.store import StoreError
from rosemaryweir.platform.tests.test_settings import WHOLE
from rosemaryweir.platform.tests.test_vm import server
from rosemaryweir.presence.members import Beat, PeerNews

KIND = 'servers'
TARGET = 'i-1'


def beat(count, follows):
    news = PeerNews(
        'vm-2',
        'd1',
        '127.0.0.2:7740',
        '127.0.0.2:8226',
        1,
        count,
        ready=True,
        leaving=False,
        load=0.0,
        follows=follows,
    )
    return Beat(news, {}, [], {}, {})


def relay(change):
    return RelayAnswer(change.revision, False, [tuple(change)])


def control_of():
    settings = parse_settings(WHOLE)
    control = Control(
        settings,
        1,
        lambda number, fields: None,
        lambda: None,
        Fleet(),
        Random(1),
    )
    spec = server('desk', '127.0.0.1:80')
    control.listed(KIND, [Change(TARGET, 5, spec)], 5)
    return control


def test_a_removal_counts_for_a_vm_that_the_store_refused_once():
    # Load pattern: the store turned this VM away for a while; since then
    # others follow for it, and it makes no calls that could succeed.
    async def scenario():
        control = control_of()
        control.store_failed(KIND, StoreError(0, 'silent'))
        await asyncio.sleep(0.9)
        control.hear(beat(1, (KIND,)))
        now = asyncio.get_running_loop().time()
        control.belief.relayed(KIND, relay(Change(TARGET, 9)), now)
        control.belief.expire(now + 2.1)
        assert TARGET not in control.belief.targets

    asyncio.run(scenario())


def test_an_entry_that_lapsed_in_an_outage_is_used_until_it_is_back():
    async def scenario():
        control = control_of()
        control.store_failed(KIND, StoreError(0, 'silent'))
        await asyncio.sleep(0.9)
        control.hear(beat(1, ()))
        control.hear(beat(2, (KIND,)))
        now = asyncio.get_running_loop().time()
        control.belief.relayed(KIND, relay(Change(TARGET, 9)), now)
        assert TARGET in control.belief.targets
        spec = server('desk', '127.0.0.1:80')
        again = relay(Change(TARGET, 11, spec))
        control.belief.relayed(KIND, again, now + 1)
        control.belief.expire(now + 2.1)
        assert TARGET in control.belief.targets

    asyncio.run(scenario())
