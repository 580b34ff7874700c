"""Entry and leaf with real sockets, and the programs as processes."""

import asyncio
import json
import signal
import subprocess
import sys

import pytest

from benchmarks.path_tier import StaticAgent, path_config, path_settings
from rosemaryweir.daemons.load import LoadPlan, LoadRun
from rosemaryweir.daemons.process import NodeProcess, read_settings
from rosemaryweir.exception import InvalidInput
from rosemaryweir.membership import directory
from rosemaryweir.standin.store_server import StoreServer
from rosemaryweir.standin.target_group import TargetGroup
from rosemaryweir.transport.exchange import encode_json
from rosemaryweir.transport.fetch import HttpPool, fetch
from rosemaryweir.transport.tests.free_ports import find_free_ports

#: Ports that the settings of one path use.
PORT_COUNT = 64
FAN_OUT = 6


class Tier:
    """Store, targets, agent, entry and leaf on one event loop."""

    async def start(self, start):
        self.store = StoreServer()
        address = await self.store.start('127.0.0.1:0')
        config = path_config((FAN_OUT,), start + 50)
        config['services'][f'fan-{FAN_OUT}']['slots'] = 8
        config['services']['orders'] = {
            **config['services'][f'fan-{FAN_OUT}'],
            'work': 'order',
        }
        self.settings = path_settings(address, start)
        self.settings['leaf_http'] = f'127.0.0.1:{start + 40}'
        self.group = TargetGroup(config, {})
        self.agent = StaticAgent(config, self.settings)
        await self.group.start()
        await self.agent.start()
        self.processes = [NodeProcess(self.settings, 'leaf')]
        self.processes.append(NodeProcess(self.settings, 'entry'))
        for process in self.processes:
            await process.start()
        self.entry = self.settings['addresses']['entry_http']
        while (await self.get('/v1/health'))['state'] != 'serving':
            await asyncio.sleep(0.05)

    async def get(self, path):
        return json.loads((await fetch(self.entry, 'GET', path)).body)

    async def query(self, text='AB12', **options):
        service = f'fan-{FAN_OUT}'
        body = encode_json({'service': service, 'query': text, **options})
        reply = await fetch(self.entry, 'POST', '/v1/query', (), body)
        return json.loads(reply.body)

    async def stop(self):
        for process in self.processes:
            await process.stop()
        await self.agent.stop()
        await self.group.stop()
        await self.store.stop()


def run(scenario):
    async def run_with_timeout():
        tier = Tier()
        async with asyncio.timeout(30):
            await tier.start(find_free_ports(PORT_COUNT))
            try:
                await scenario(tier)
            finally:
                await tier.stop()

    asyncio.run(run_with_timeout())


def test_query_through_entry_and_leaf():
    async def scenario(tier):
        while (await tier.query(deadline_ms=2000)).get('outcome') != 'complete':
            await asyncio.sleep(0.1)
        answer = await tier.query('XY99')
        assert answer['coverage'] == {
            'covered': FAN_OUT,
            'total': FAN_OUT,
            'missing': [],
        }
        assert {row['shard'] for row in answer['rows']} == {
            f's{number}' for number in range(FAN_OUT)
        }
        assert all('XY99' in row['text'] for row in answer['rows'])
        status = await tier.get('/v1/status')
        assert status['peers']['taken'] > 0
        assert any('fan-' in name for name in status['latency_ms'])
        bins = (await tier.get('/v1/latency'))['histograms']
        assert bins.keys() == status['latency_ms'].keys()
        for name, summary in status['latency_ms'].items():
            counted = sum(count for _, count in bins[name])
            assert counted >= summary['total'] > 0

    run(scenario)


def test_the_leaf_shows_its_status_on_an_address_of_its_own():
    async def scenario(tier):
        address = tier.settings['leaf_http']
        status = json.loads((await fetch(address, 'GET', '/v1/status')).body)
        assert status['role'] == 'leaf'
        reply = await fetch(address, 'POST', '/v1/query', (), b'{}')
        assert reply.status == 404

    run(scenario)


@pytest.mark.parametrize('kind', ['wrong_echo', 'cut', 'shed'])
def test_a_faulty_target_lessens_coverage_truly(kind):
    async def scenario(tier):
        while (await tier.query(deadline_ms=2000)).get('outcome') != 'complete':
            await asyncio.sleep(0.1)
        name = f'fan-{FAN_OUT}-0'
        tier.group.apply({'kind': kind, 'targets': [name]})
        # The class waits for coverage until its deadline: one that ends well
        # before the client of this test gives up.
        answer = await tier.query(deadline_ms=2000)
        coverage = answer['coverage']
        assert coverage['missing'] == ['s0']
        assert coverage['covered'] == FAN_OUT - 1
        assert all(row['shard'] != 's0' for row in answer['rows'])

    run(scenario)


def test_load_of_queries_and_orders_is_answered_truly():
    async def scenario(tier):
        while (await tier.query(deadline_ms=2000)).get('outcome') != 'complete':
            await asyncio.sleep(0.1)
        plan = LoadPlan(
            entries=('127.0.0.1:1', tier.entry),
            services=(f'fan-{FAN_OUT}',),
            order_services=('orders',),
            rate=20,
            order_rate=5,
            seconds=2,
            deadline_ms=5000,
        )
        summary = await LoadRun(plan, 'test').run()
        assert summary['untrue'] == 0
        assert summary['errors'] == {}
        answered = sum(summary['outcomes'].values())
        refused = sum(summary['refusals'].values())
        assert answered + refused == summary['queries'] + summary['orders']
        assert summary['outcomes']['query/complete'] > 0
        assert tier.group.stats()['doubled'] == 0
        done = summary['outcomes'].get('order/done', 0)
        assert len(tier.group.order_runs) >= done > 0

    run(scenario)


def test_shutdown_ends_with_code_zero_and_answers_what_is_in_flight():
    async def scenario(tier):
        while (await tier.query(deadline_ms=2000)).get('outcome') != 'complete':
            await asyncio.sleep(0.1)
        entry = tier.processes[1]
        running = [asyncio.create_task(tier.query()) for _ in range(5)]
        await asyncio.sleep(0.01)
        entry.shutdown()
        assert (await tier.get('/v1/health'))['state'] == 'leaving'
        assert await entry.driver.finished == 0
        answers = await asyncio.gather(*running)
        outcomes = [answer.get('outcome', answer) for answer in answers]
        assert outcomes == ['complete'] * 5

    run(scenario)


def test_no_new_connections_once_nobody_is_told_to_come(monkeypatch):
    monkeypatch.setattr(directory, 'DELISTING_S', 0.2)
    monkeypatch.setattr(directory, 'DIRECTORY_TTL_S', 0.3)

    async def scenario(tier):
        while (await tier.query(deadline_ms=2000)).get('outcome') != 'complete':
            await asyncio.sleep(0.1)
        entry = tier.processes[1]
        pool = HttpPool()
        await pool.request(tier.entry, 'GET', '/v1/health', seconds=5)
        straggler = [f'fan-{FAN_OUT}-0']
        fault = {'kind': 'straggle', 'targets': straggler, 'amount': 1000}
        tier.group.apply(fault)
        running = asyncio.create_task(tier.query(deadline_ms=3000))
        await asyncio.sleep(0.1)
        entry.shutdown()
        with pytest.raises(OSError):
            while True:
                await tier.get('/v1/health')
                await asyncio.sleep(0.05)
        assert not running.done()
        reply = await pool.request(tier.entry, 'GET', '/v1/health', seconds=5)
        assert reply.headers['connection'] == 'close'
        assert (await running)['coverage']['covered'] == FAN_OUT - 1
        assert await entry.driver.finished == 0

    run(scenario)


@pytest.mark.parametrize('role', ['entry', 'leaf', 'agent'])
def test_program_checks_settings_and_ends_on_sigterm(role, tmp_path):
    settings = path_settings(start=find_free_ports(PORT_COUNT))
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps({**settings, 'log_level': 'info'}))
    command = [sys.executable, '-m', f'rosemaryweir.daemons.{role}']
    command.append(f'--settings={path}')
    checked = subprocess.run([*command, '--check'], capture_output=True)
    assert checked.returncode == 0
    daemon = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
    assert 'daemon.started' in daemon.stderr.readline()
    daemon.send_signal(signal.SIGTERM)
    _, rest = daemon.communicate(timeout=30)
    assert daemon.returncode == 0
    assert json.loads(rest.splitlines()[-1])['event'] == 'daemon.stopped'


def test_all_findings_in_settings_are_printed(tmp_path):
    path = tmp_path / 'settings.json'
    path.write_text('{"vm": "vm 1", "stroe": "127.0.0.1:1"}')
    with pytest.raises(InvalidInput) as caught:
        read_settings(str(path))
    paths = [finding.path for finding in caught.value.findings]
    assert '$.vm' in paths
    assert '$.stroe' in paths
    with pytest.raises(InvalidInput):
        read_settings(str(tmp_path / 'absent.json'))
