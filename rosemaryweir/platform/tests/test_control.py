"""What a VM believes while the store is away, for it alone or for all."""

import asyncio
from random import Random

import msgspec

from rosemaryweir.catalog.relay import RelayAnswer
from rosemaryweir.catalog.table import ObjectVersion
from rosemaryweir.gateway.fleet import Fleet
from rosemaryweir.platform import control as control_module
from rosemaryweir.platform import words
from rosemaryweir.platform.control import Control
from rosemaryweir.platform.settings import parse_settings
from rosemaryweir.platform.standin.store import StandInStore
from rosemaryweir.platform.standin.targets import registration
from rosemaryweir.platform.store import StoreError, list_own
from rosemaryweir.platform.tests.test_settings import WHOLE
from rosemaryweir.presence.heartbeats import VmHeartbeat, VmState

KIND = 'servers'
TARGET = 'i-1'


def beat(count, follows):
    news = VmState(
        'vm-2',
        'd1',
        '127.0.0.2:7740',
        '127.0.0.2:8226',
        1,
        count,
        ready=True,
        leaving=False,
        load=0.0,
        watched_kinds=follows,
    )
    return VmHeartbeat(news, {}, [], {}, {})


def relay(change):
    return RelayAnswer(change.revision, False, [tuple(change)])


def control_of(store='127.0.0.1:8229'):
    settings = parse_settings(WHOLE.replace('127.0.0.1:8229', store))
    control = Control(
        settings,
        1,
        lambda number, fields: None,
        lambda: None,
        TargetRegistry(),
        Random(1),
    )
    spec = registration('desk', '127.0.0.1:80')
    control.listed(KIND, [ObjectVersion(TARGET, 5, spec)], 5)
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
        control.belief.relayed(KIND, relay(ObjectVersion(TARGET, 9)), now)
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
        control.belief.relayed(KIND, relay(ObjectVersion(TARGET, 9)), now)
        assert TARGET in control.belief.targets
        spec = registration('desk', '127.0.0.1:80')
        again = relay(ObjectVersion(TARGET, 11, spec))
        control.belief.relayed(KIND, again, now + 1)
        control.belief.expire(now + 2.1)
        assert TARGET in control.belief.targets

    asyncio.run(scenario())


def refused_vm():
    """Return a VM that the store refused, and that makes no calls since."""
    control = control_of()
    control.store_failed(KIND, StoreError(0, 'silent'))
    return control


def test_a_relayed_removal_tells_that_the_store_answers_somebody(monkeypatch):
    # Load pattern: 26 of 74 VMs were refused for 9 s and don't follow after;
    # a target left 11 s later, and one of them used it for 5 s more.
    monkeypatch.setattr(control_module, '_now', lambda: clock[0])
    clock = [100.0]

    async def scenario():
        control = refused_vm()
        clock[0] += 20
        gone = RelayAnswer(6, False, [(TARGET, 6, None)])
        control.belief.relayed(KIND, gone, clock[0])
        clock[0] += 2.1
        control.expire()
        assert TARGET not in control.belief.targets

    asyncio.run(scenario())


def test_a_follower_that_others_tell_of_counts_as_well(monkeypatch):
    # Beats between failure domains are few: most VMs never hear a follower
    # itself.
    monkeypatch.setattr(control_module, '_now', lambda: clock[0])
    clock = [100.0]

    async def scenario():
        control = refused_vm()
        clock[0] += 20
        gone = ObjectVersion(TARGET, 6)
        control.belief.changed(KIND, [gone], 6, clock[0])
        control.store_failed(KIND, StoreError(0, 'silent'))
        clock[0] += 20
        follower = beat(7, (KIND,)).sender
        teller = msgspec.structs.replace(
            follower, name='vm-3', watched_kinds=()
        )
        control.hear(VmHeartbeat(teller, {}, [follower], {}, {}))
        clock[0] += 2.1
        control.expire()
        assert TARGET not in control.belief.targets

    asyncio.run(scenario())


def test_what_vms_that_are_gone_left_in_the_store_is_removed():
    # Thousands of VMs are replaced a day, most without a word.
    async def scenario():
        store = StandInStore()
        control = control_of(await store.http.start('127.0.0.1:0'))
        for name in ('vm-1', 'vm-2', 'vm-3'):
            store.put(words.VMS_KIND, name, {'address': '127.0.0.9:1'})
        found = await list_own(control._settings.store, words.VMS_KIND)
        # Nobody was heard: this VM may be the one that is cut off.
        await control._remove_abandoned(found)
        assert len(store.objects) == 3
        control.hear(beat(1, ()))
        listed = [
            ObjectVersion(name, item['meta']['revision'], item['spec'])
            for (_, name), item in store.objects.items()
        ]
        # It comes back between the list and the removal: its object stays.
        store.put(words.VMS_KIND, 'vm-3', {'address': '127.0.0.9:2'})
        await control._remove_abandoned(listed)
        assert len(store.objects) == 3
        listed[-1] = listed[-1]._replace(revision=store.revision)
        await control._remove_abandoned(listed)
        names = {name for _, name in store.objects}
        assert names == {'vm-1', 'vm-2'}
        await store.http.stop()

    asyncio.run(scenario())
