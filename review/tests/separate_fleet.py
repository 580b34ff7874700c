"""The seeds are down when the fleet starts for the first time.

Rule FAILBACK: a cold server gets no more requests in one second than
`cold_per_s` x `cold_overage` + `cold_slack`, summed over all machines.
"""

import asyncio
import re

import harness

SERVICE = 'print-orders'
COLD_PER_S = 10.0
COLD_OVERAGE, COLD_SLACK = 1.5, 5
COLD_S = 8.0
#: Age of what the store returns to calls that allow stale data, in seconds.
STALE_S = 2.0
ORDERS_PER_S = 150


class StaleStore(harness.Store):
    """A store whose lists are some seconds old where the call allows it."""

    def __init__(self, record):
        super().__init__(record)
        self._history = [(float('-inf'), self.revision, {})]

    async def _publish(self, kind, name, item, deleted):
        known = dict(self._objects)
        self._history.append((self.record.now(), self.revision, known))
        return await super()._publish(kind, name, item, deleted)

    def _list(self, kind, params):
        if 'allow_stale' not in params:
            return super()._list(kind, params)
        until = self.record.now() - STALE_S
        newest = self.revision, self._objects
        self.revision, self._objects = next(
            (revision, known)
            for when, revision, known in reversed(self._history)
            if when <= until
        )
        try:
            return super()._list(kind, params)
        finally:
            self.revision, self._objects = newest


async def scenario(site, record):
    site.store = StaleStore(record)
    for number in range(3):
        add_server(site, record, f'i-{number:08x}')
    service = harness.service_config(SERVICE, 96)
    service['cold_per_s'] = COLD_PER_S
    if harness.TROUBLE:
        # Three more machines, which have no power, are the seeds.
        down = [harness.Vm(site, number, 'zone-a') for number in (6, 7, 8)]
        site.seeds = down
    await site.start(
        harness.config([harness.order_route(SERVICE)], [service]),
        settle_s=STALE_S + 1,
    )
    await asyncio.sleep(6)
    await tell_known_vms(site, record)
    requester = harness.Requester(site)
    load = asyncio.create_task(requester.load(ORDERS_PER_S, 14))
    await asyncio.sleep(3)
    cold = add_server(site, record, 'i-c01d0000')
    cold.cold_ms = int(COLD_S * 1000)
    confirmed = await site.add(cold)
    await load
    await requester.finish()
    await tell_known_vms(site, record)
    record.say(f'answers by status: {requester.statuses()}')
    return judge(cold, confirmed, record)


def add_server(site, record, name):
    server = harness.Server(record, name, SERVICE, 'zone-a', work=0.2, slots=60)
    site.servers[name] = server
    return server


async def tell_known_vms(site, record):
    """Record how many VMs each VM knows, by its metrics page."""
    known = []
    for vm in site.vms:
        _, _, page = await harness.fetch(vm.address('metrics'), '/metrics')
        found = re.search(rb'^\S*vms\S* (\d+)', page, re.MULTILINE)
        known.append(int(found[1]) if found else None)
    record.say(f'VMs known to each of the six: {known}')


def judge(cold, confirmed, record):
    arrivals = [when for when, _ in cold.arrivals if when < confirmed + COLD_S]
    most = max(
        sum(start <= when < start + 1 for when in arrivals)
        for start in (*arrivals, 0)
    )
    bound = COLD_PER_S * COLD_OVERAGE + COLD_SLACK
    record.say(
        f'{cold.name} was cold for {COLD_S} s from {confirmed:.3f} s on: '
        f'{len(arrivals)} orders, {most} within one second, bound {bound}'
    )
    return most <= bound


harness.main(scenario, vms=6)
