"""An entry of `servers` holds bytes that can't be read; then a server leaves.

Rule DRAIN: a server whose entry says `draining` gets no request later than
`drain_ms` after the store's confirmation.
"""

import asyncio
import os

import harness

SERVICE = 'print-orders'
DRAIN_S = 3.0
#: The leaving server exits this long after the confirmation, in seconds.
EXIT_S = 8.0
RECOVER_S = 12
#: Pause before the platform starts a killed process again, in seconds.
RESTART_S = 0.5
ORDERS_PER_S = 60
#: Contents that another writer may leave: `bytes` is not UTF-8; the others are
#: JSON by its grammar that some readers can't take.
CONTENTS = {
    'bytes': b'{"service":"\xff\xfe\x80"}',
    'escape': rb'{"service":"\ud800"}',
    'number': b'{"service":"print-orders","seq":1e400}',
    'deep': b'{"service":' + b'[' * 1200 + b']' * 1200 + b'}',
}


async def scenario(site, record):
    for number, zone in enumerate(harness.ZONES):
        name = f'i-{number:08x}'
        site.servers[name] = harness.Server(
            record, name, SERVICE, zone, work=0.12, slots=12
        )
    await site.start(
        harness.config(
            [harness.order_route(SERVICE)],
            [harness.service_config(SERVICE, 96)],
        )
    )
    leaving = site.servers['i-00000000']
    requester = harness.Requester(site)
    load = asyncio.create_task(requester.load(ORDERS_PER_S, 18))
    await asyncio.sleep(5)
    if harness.TROUBLE:
        content = CONTENTS[os.environ.get('CONTENT', 'bytes')]
        await site.store.put('servers', 'i-0badbad0', content)
    await asyncio.sleep(1)
    entry = leaving.entry(state='draining', seq=2)
    confirmed = await site.store.put('servers', leaving.name, entry)
    await asyncio.sleep(EXIT_S)
    leaving.exit()
    await load
    await requester.finish()
    late = harness.late_arrivals(leaving, confirmed, DRAIN_S)
    lost = requester.lost_at(leaving, confirmed + DRAIN_S)
    record.say(f'answers by status: {requester.statuses()}')
    record.say(f'{leaving.name} is draining, confirmed at {confirmed:.3f} s')
    record.say(f'{len(late)} orders reached it over {DRAIN_S} s later')
    record.say(f'{len(lost)} of them were lost when it exited: {lost[:5]}')
    await observe_restart(site, record)
    return not late


async def observe_restart(site, record):
    """Kill all VMs, let the platform start them again, and tell who serves.

    Only told, not judged: the rule of this case is DRAIN.
    """
    for vm in site.vms:
        await vm.kill()
    await asyncio.sleep(RESTART_S)
    for vm in site.vms:
        await vm.start()
    await asyncio.sleep(RECOVER_S)
    requester = harness.Requester(site, prefix='r')
    await requester.load(30, 5)
    await requester.finish()
    ready = [await vm.ready() for vm in site.vms]
    record.say(f'{sum(ready)} of 3 VMs are ready {RECOVER_S} s after a restart')
    record.say(f'orders sent since, by status: {requester.statuses()}')


harness.main(scenario)
