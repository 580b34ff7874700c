"""Demo: load on a deployment whose processes are already running.

``tools/demo.sh`` starts the processes.  This module writes their settings,
applies the release note of a deployment, sends queries and orders as callers
do, and prints a summary.
"""

import asyncio
import json
import pathlib
import time
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from rosemaryweir.cli.client import CallFailure, CallResponse, call, call_async
from rosemaryweir.cli.show import latency_lines, plan_lines
from rosemaryweir.daemons.load import LoadPlan, LoadRun
from rosemaryweir.daemons.load_statistics import LoadSummary
from rosemaryweir.schema.generated.settings import Settings
from rosemaryweir.testing.deployment import (
    DEPLOYMENTS,
    Deployment,
    config_of,
    note_of,
    vm_settings,
)

__all__ = ['Demo']

VM_COUNT = 3
STORE_ADDRESS = '127.0.0.1:11999'
QUERIES_PER_S = 30.0
ORDERS_PER_S = 5.0
LOAD_DURATION_S = 10.0
DEADLINE_MS = 2000
PROBE_DEADLINE_MS = 500
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.2
HTTP_OK = 200


class Demo(NamedTuple):
    """The demo of one deployment.

    Parameters
    ----------
    folder : Path
        Folder of the settings files.
    deployment : Deployment
        Services, targets and failure domains of the demo.
    settings : list of Settings
        Settings of each VM.
    """

    folder: pathlib.Path
    deployment: Deployment
    settings: list[Settings]

    @classmethod
    def from_folder(cls, folder: str, deployment: str) -> 'Demo':
        """Return the demo of a deployment by name."""
        chosen = DEPLOYMENTS[deployment]
        return cls(
            pathlib.Path(folder),
            chosen,
            vm_settings(chosen, VM_COUNT, store=STORE_ADDRESS),
        )

    def write_files(self) -> Iterator[str]:
        """Write settings, release note and targets; yield the VM names."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._write('note', note_of(self.deployment))
        self._write('targets', config_of(self.deployment))
        for settings in self.settings:
            self._write(settings['vm'], settings)
            yield settings['vm']

    def run(self) -> int:
        """Run the demo and return the exit code."""
        note = note_of(self.deployment)
        agent = self.settings[0]['addresses']['agent_http']
        print(f'release note {note["note"]}:')
        print('\n'.join(list(plan_lines(note))[:8]), '\n  ...')
        if not self._apply(agent, note):
            print('the release note was not accepted in time')
            return 1
        if not self._wait_serving():
            print('the VMs did not start serving in time')
            return 1
        if not self._wait_complete():
            print('some services gave no complete answer in time')
            return 1
        print('VMs in the directory:', _directory_line(self.settings[0]))
        print(f'sending queries and orders for {LOAD_DURATION_S:.0f} s ...')
        summary = asyncio.run(LoadRun(self._plan(), 'demo').run())
        repeat_outcomes = asyncio.run(self._repeat_order())
        print(f'{self.deployment.name}: {len(self.settings)} VMs')
        print('\n'.join(_summary_lines(summary)))
        print(
            f'  the same order at each VM in turn: {", ".join(repeat_outcomes)}'
        )
        print('\n'.join(self._vm_status_lines()))
        return self._exit_code(summary)

    def _write(self, name: str, content: Any) -> None:
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(content, indent=2))

    def _apply(self, agent: str, note: Any) -> bool:
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < give_up_at:
            answer = call(agent, 'POST', '/v1/notes', note).value_or(None)
            if answer is not None and answer.status == HTTP_OK:
                return True
            time.sleep(POLL_INTERVAL_S)
        return False

    def _wait_serving(self) -> bool:
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        waiting = [each['addresses']['entry_http'] for each in self.settings]
        while waiting and time.monotonic() < give_up_at:
            waiting = [each for each in waiting if not _serves(each)]
            time.sleep(POLL_INTERVAL_S)
        return not waiting

    def _wait_complete(self) -> bool:
        """Send queries until each service has given a complete answer."""
        started_at = time.monotonic()
        address = self._entries()[0]
        waiting = list(self._services('query'))
        while waiting and time.monotonic() < started_at + READY_TIMEOUT_S:
            waiting = [
                each
                for each in waiting
                if not _answers_completely(address, each)
            ]
        duration = time.monotonic() - started_at
        print(
            f'first complete answers {duration:.1f} s after VMs began to serve'
        )
        return not waiting

    def _plan(self) -> LoadPlan:
        return LoadPlan(
            entries=tuple(self._entries()),
            services=self._services('query'),
            order_services=self._services('order'),
            rate=QUERIES_PER_S,
            order_rate=ORDERS_PER_S,
            seconds=LOAD_DURATION_S,
            deadline_ms=DEADLINE_MS,
            classes=tuple(sorted(self.deployment.classes)),
            domains=self.deployment.domains,
        )

    async def _repeat_order(self) -> list[str]:
        """Send one order to each VM in turn and return the outcomes."""
        body = {
            'service': self._services('order')[0],
            'order_key': 'demo-again',
            'body': 'one disc',
        }
        outcomes = []
        for address in self._entries():
            answer = await call_async(address, 'POST', '/v1/order', body)
            outcomes.append(_order_outcome(answer))
        return outcomes

    def _entries(self) -> list[str]:
        return [each['addresses']['entry_http'] for each in self.settings]

    def _services(self, work: str) -> tuple[str, ...]:
        return tuple(
            size.name for size in self.deployment.services if size.work == work
        )

    def _vm_status_lines(self) -> Iterator[str]:
        yield 'inside the tier, latency in ms:'
        for settings in self.settings:
            address = settings['addresses']['entry_http']
            answer = call(address, 'GET', '/v1/status').value_or(None)
            if answer is not None:
                yield f'  {settings["vm"]}: {_extra_attempts_line(answer.body)}'
                yield from (
                    f'    {line}'
                    for line in latency_lines(answer.body['latency_ms'])
                )

    def _exit_code(self, summary: LoadSummary) -> int:
        targets = config_of(self.deployment)['targets']
        address = next(iter(targets.values()))['address']
        stats = call(address, 'GET', '/admin/stats').unwrap().body
        print(f'orders run by the targets: {len(stats["order_runs"])}')
        print(f'orders that ran more than once: {stats["doubled"]}')
        print(f'untrue answers: {summary["untrue"]}')
        answered = sum(summary['outcomes'].values())
        return int(stats['doubled'] or summary['untrue'] or not answered)


def _summary_lines(summary: LoadSummary) -> Iterator[str]:
    for title in ('outcomes', 'refusals', 'errors'):
        counts: Mapping[str, int] = summary[title]
        for name, count in sorted(counts.items()):
            yield f'  {title:9} {name:30} {count}'
    for name, share in summary['coverage'].items():
        yield f'  coverage  {name:30} {share:.2%}'
    yield 'latency as callers saw it, in ms:'
    yield from (f'  {line}' for line in latency_lines(summary['latency_ms']))


def _extra_attempts_line(status: Mapping[str, Any]) -> str:
    queries = status['parts']['QueryService']
    first, extra = queries['first'], queries['extra']
    not_run: Mapping[str, int] = queries['not_run']
    ran = max(0, extra - sum(not_run.values()))
    share = ran / first if first else 0
    why = ', '.join(f'{count} {name}' for name, count in not_run.items())
    return (
        f'{first} attempts needed, {ran} more ran ({share:.2%}); '
        f'refused before they ran: {why or "none"}'
    )


def _order_outcome(answer: CallResponse | CallFailure) -> str:
    if isinstance(answer, CallFailure):
        return answer.reason
    outcome = answer.body.get('outcome') or answer.body['reason']
    return f'{outcome}{" (recorded)" if answer.body.get("recorded") else ""}'


def _answers_completely(address: str, service: str) -> bool:
    body = {
        'service': service,
        'query': 'ready?',
        'deadline_ms': PROBE_DEADLINE_MS,
    }
    answer = call(address, 'POST', '/v1/query', body).value_or(None)
    return answer is not None and answer.body.get('outcome') == 'complete'


def _directory_line(settings: Settings) -> str:
    address = settings['addresses']['entry_http']
    path = f'/v1/directory?domain={settings["domain"]}'
    answer = call(address, 'GET', path).unwrap()
    return ', '.join(
        f'{use["vm"]} {use["address"]}' for use in answer.body['use']
    )


def _serves(address: str) -> bool:
    answer = call(address, 'GET', '/v1/health').value_or(None)
    if answer is None:
        return False
    body = answer.body
    return bool(body.get('serving') and body.get('generation', 0) >= 1)
