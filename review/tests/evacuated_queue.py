"""A zone is evacuated during a burst.

Rule EVAC: a server of an evacuated zone gets no request later than
`evacuate_ms` after the store's confirmation.
"""

import asyncio

import harness

EVACUATE_S = 5.0
BASE_PER_S = 110
BURST_X = 1.7
BURST_S = 5.0


async def scenario(site, record):
    service = 'print-orders'
    for number, zone in enumerate(harness.ZONES):
        name = f'i-{number:08x}'
        site.servers[name] = harness.Server(
            record, name, service, zone, slots=3, queue=18, work=0.06
        )
    await site.start(
        harness.config(
            [harness.order_route(service)],
            [harness.service_config(service, 15)],
        )
    )
    requester = harness.Requester(site)
    load = asyncio.create_task(requester.load(BASE_PER_S, 22))
    await asyncio.sleep(5)
    burst = None
    if harness.TROUBLE:
        record('burst', x=BURST_X, for_s=BURST_S)
        extra = BASE_PER_S * (BURST_X - 1)
        burst = asyncio.create_task(requester.load(extra, BURST_S))
    await asyncio.sleep(2)
    zone = harness.ZONES[0]
    confirmed = await site.store.put('evacuations', zone, {})
    await load
    await requester.finish()
    if burst:
        await burst
    server = next(s for s in site.servers.values() if s.zone == zone)
    late = harness.late_arrivals(server, confirmed, EVACUATE_S)
    record.say(f'answers by status: {requester.statuses()}')
    record.say(f'{zone} is evacuated, confirmed at {confirmed:.3f} s')
    record.say(f'{len(late)} requests reached it over {EVACUATE_S} s later')
    if late:
        record.say(f'the last of them at {late[-1][0]:.3f} s')
    return not late


harness.main(scenario)
