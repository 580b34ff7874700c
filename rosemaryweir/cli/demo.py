"""The demo: the main job against processes that already stand.

``tools/demo.sh`` starts the plain processes; this module writes their
settings, applies the release note of a deployment, asks queries and places
orders as callers do, and prints what came of it.
"""

import asyncio
import json
import pathlib
import sys
import time
from collections import Counter
from collections.abc import Iterator
from typing import Any, NamedTuple

from rosemaryweir.cli.client import Answer, CallFailed, attempt, call
from rosemaryweir.cli.show import latency_lines, plan_lines
from rosemaryweir.schema.generated.settings import Settings
from rosemaryweir.telemetry.histogram import HistogramSet
from rosemaryweir.testing.deployment import (
    DEPLOYMENTS,
    Deployment,
    config_of,
    note_of,
    vm_settings,
)

__all__ = ['Demo', 'Tally']

VMS = 3
STORE = '127.0.0.1:11999'
QUERIES = 200
ORDERS = 30
CONCURRENT = 8
READY_S = 30.0
POLL_S = 0.2
MS = 1000.0
OK = 200


class Tally:
    """What the callers of the demo saw."""

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.covered = 0
        self.total = 0
        self.histograms = HistogramSet()
        self.orders: dict[str, list[str]] = {}

    def query(self, klass: str, took_s: float, answer: Answer) -> None:
        """Count the answer to a query."""
        body = answer.body
        if answer.status != OK:
            self.outcomes[f'query refused: {body["reason"]}'] += 1
            return
        self.outcomes[f'query {body["outcome"]}'] += 1
        self.covered += body['coverage']['covered']
        self.total += body['coverage']['total']
        self.histograms.record('query', took_s * MS, {'class': klass})

    def order(self, order_key: str, took_s: float, answer: Answer) -> None:
        """Count the answer to an order."""
        body = answer.body
        outcome = body.get('outcome') or f'refused: {body["reason"]}'
        if body.get('recorded'):
            outcome = f'{outcome}, recorded earlier'
        self.outcomes[f'order {outcome}'] += 1
        self.orders.setdefault(order_key, []).append(outcome)
        self.histograms.record('order', took_s * MS, {'class': 'order'})

    def lost(self, kind: str, failure: CallFailed) -> None:
        """Count a request whose connection broke."""
        self.outcomes[f'{kind} unanswered'] += 1

    def lines(self) -> Iterator[str]:
        """Yield the summary for people."""
        for outcome, count in sorted(self.outcomes.items()):
            yield f'  {outcome:36} {count}'
        share = self.covered / self.total if self.total else 0.0
        yield f'  coverage: {self.covered} of {self.total} ({share:.2%})'
        yield 'latency as callers saw it, in ms:'
        yield from (
            f'  {line}' for line in latency_lines(self.histograms.summaries())
        )


class Demo(NamedTuple):
    """The demo of one deployment.

    Parameters
    ----------
    folder : Path
        Where settings are.
    deployment : Deployment
        What is set up.
    settings : list of Settings
        One for each VM.
    """

    folder: pathlib.Path
    deployment: Deployment
    settings: list[Settings]

    @classmethod
    def from_folder(cls, folder: str, deployment: str) -> 'Demo':
        """Return the demo of a deployment's name."""
        chosen = DEPLOYMENTS[deployment]
        return cls(
            pathlib.Path(folder),
            chosen,
            vm_settings(chosen, VMS, store=STORE),
        )

    def write_files(self) -> Iterator[str]:
        """Write settings, note and targets; yield the names of the VMs."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._write('note', note_of(self.deployment))
        self._write('targets', config_of(self.deployment))
        for settings in self.settings:
            self._write(settings['vm'], settings)
            yield settings['vm']

    def run(self) -> int:
        """Run the main job; return the exit code."""
        note = note_of(self.deployment)
        agent = self.settings[0]['addresses']['agent_http']
        print(f'release note {note["note"]}:')
        print('\n'.join(list(plan_lines(note))[:8]), '\n  ...')
        if not self._apply(agent, note):
            print('the release note was not accepted in time')
            return 1
        if not self._wait_serving():
            print('the VMs do not serve')
            return 1
        tally = Tally()
        asyncio.run(self._callers(tally))
        print(f'{self.deployment.name}: {len(self.settings)} VMs')
        print('\n'.join(tally.lines()))
        print('\n'.join(self._tier_lines()))
        doubled = self._doubled()
        print(f'orders run more than once by a target: {doubled}')
        return int(doubled > 0 or not tally.total)

    def _write(self, name: str, content: Any) -> None:
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(content, indent=2))

    def _apply(self, agent: str, note: Any) -> bool:
        ends = time.monotonic() + READY_S
        while time.monotonic() < ends:
            answer = call(agent, 'POST', '/v1/notes', note).value_or(None)
            if answer is not None and answer.status == OK:
                return True
            time.sleep(POLL_S)
        return False

    def _wait_serving(self) -> bool:
        ends = time.monotonic() + READY_S
        waiting = [each['addresses']['entry_http'] for each in self.settings]
        while waiting and time.monotonic() < ends:
            waiting = [each for each in waiting if not _serves(each)]
            time.sleep(POLL_S)
        return not waiting

    async def _callers(self, tally: Tally) -> None:
        gate = asyncio.Semaphore(CONCURRENT)
        domains = self.deployment.domains
        use = await _directory(self.settings, domains[0])
        jobs = [
            self._one_query(tally, use, number) for number in range(QUERIES)
        ]
        jobs.extend(
            self._one_order(tally, use, number) for number in range(ORDERS)
        )

        async def gated(job: Any) -> None:
            async with gate:
                await job

        await asyncio.gather(*(gated(job) for job in jobs))

    async def _one_query(
        self,
        tally: Tally,
        use: list[str],
        number: int,
    ) -> None:
        services = self._services('query')
        classes = sorted(self.deployment.classes)
        klass = classes[number % len(classes)]
        body = {
            'service': services[number % len(services)],
            'query': f'record {number}',
            'class': klass,
        }
        began = time.monotonic()
        answer = await attempt(use[0], 'POST', '/v1/query', body)
        if isinstance(answer, CallFailed):
            tally.lost('query', answer)
        else:
            tally.query(klass, time.monotonic() - began, answer)

    async def _one_order(
        self,
        tally: Tally,
        use: list[str],
        number: int,
    ) -> None:
        services = self._services('order')
        body = {
            'service': services[number % len(services)],
            'order_key': f'demo-{number}',
            'body': f'disc {number}',
        }
        # Ask twice with one key, the second time at another VM.
        for address in (use[0], use[-1]):
            began = time.monotonic()
            answer = await attempt(address, 'POST', '/v1/order', body)
            if isinstance(answer, CallFailed):
                tally.lost('order', answer)
            else:
                took = time.monotonic() - began
                tally.order(body['order_key'], took, answer)

    def _services(self, work: str) -> list[str]:
        return [
            size.name for size in self.deployment.services if size.work == work
        ]

    def _tier_lines(self) -> Iterator[str]:
        yield 'latency inside the tier, in ms:'
        for settings in self.settings:
            address = settings['addresses']['entry_http']
            answer = call(address, 'GET', '/v1/status').value_or(None)
            if answer is not None:
                yield f'  {settings["vm"]}'
                yield from (
                    f'    {line}'
                    for line in latency_lines(answer.body['latency_ms'])
                )

    def _doubled(self) -> int:
        targets = config_of(self.deployment)['targets']
        address = next(iter(targets.values()))['address']
        answer = call(address, 'GET', '/admin/stats').unwrap()
        print(f'orders run by the targets: {len(answer.body["order_runs"])}')
        return int(answer.body['doubled'])


def _serves(address: str) -> bool:
    answer = call(address, 'GET', '/v1/health').value_or(None)
    if answer is None:
        return False
    body = answer.body
    return bool(body.get('serving') and body.get('generation', 0) >= 1)


async def _directory(settings: list[Settings], domain: str) -> list[str]:
    for each in settings:
        address = each['addresses']['entry_http']
        path = f'/v1/directory?domain={domain}'
        answer = await attempt(address, 'GET', path)
        if not isinstance(answer, CallFailed) and answer.status == OK:
            use = [entry['address'] for entry in answer.body['use']]
            print(f'the directory says: use {", ".join(use)}')
            return use
    sys.exit('no VM answered the directory')
