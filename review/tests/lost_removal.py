"""Three of six VMs are killed while a server's entry is removed.

Rule DRAIN: a server that is gone from the store gets no request later than
`drain_ms` after the store's confirmation.
"""

import asyncio
from hashlib import blake2b

import harness

SERVICE = 'print-orders'
DRAIN_S = 3.0
#: The server whose entry is removed exits this long after that, in seconds.
EXIT_S = 10.0
#: Pause before the platform starts a killed process again, in seconds.
RESTART_S = 0.3
ORDERS_PER_S = 60


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
    await asyncio.sleep(4)
    killed, survivors = choose_killed(site)
    names = ', '.join(vm.name for vm in survivors)
    record.say(f'{names} are not killed; they take all orders')
    leaving = next(
        server
        for server in site.servers.values()
        if server.zone == survivors[-1].zone
    )
    requester = harness.Requester(site)
    load = asyncio.create_task(requester.load(ORDERS_PER_S, 18, survivors))
    await asyncio.sleep(5)
    if harness.TROUBLE:
        await asyncio.gather(*(vm.kill() for vm in killed))
    # It never reports `draining`: its entry is removed and it goes on serving.
    confirmed = await site.store.delete('servers', leaving.name)
    added = harness.Server(
        record, 'i-0000add0', SERVICE, leaving.zone, work=0.12, slots=12
    )
    await site.add(added)
    if harness.TROUBLE:
        await asyncio.sleep(RESTART_S)
        await asyncio.gather(*(vm.start() for vm in killed))
    await asyncio.sleep(confirmed + EXIT_S - record.now())
    leaving.exit()
    await load
    await requester.finish()
    late = harness.late_arrivals(leaving, confirmed, DRAIN_S)
    lost = requester.lost_at(leaving, confirmed + DRAIN_S)
    record.say(f'answers by status: {requester.statuses()}')
    record.say(f'{leaving.name} is gone, confirmed at {confirmed:.3f} s')
    record.say(f'{len(late)} orders reached it over {DRAIN_S} s later')
    senders = sorted({requester.sent[number][1] for _, number in late})
    record.say(f'they were sent on by {senders}')
    record.say(f'{len(lost)} of them were lost when it exited: {lost[:5]}')
    return not late


def choose_killed(site):
    """Return the VMs that are killed, and the others.

    The VMs of least rank watch the servers in the store; the others learn from
    them.  The killed ones are those two and one more.
    """

    def rank(vm):
        return blake2b(f'servers/{vm.name}'.encode(), digest_size=8).digest()

    ranked = sorted(site.vms, key=rank)
    return ranked[:3], ranked[3:]


harness.main(scenario, vms=6)
