"""Separate processes with real sockets: answers stay true after a kill -9."""

import json
import os
import signal
import subprocess
import sys
import time

import pytest

from rosemaryweir.cli.client import call
from rosemaryweir.testing.deployment import (
    DEPLOYMENTS,
    ServiceSize,
    config_of,
    note_of,
    vm_settings,
)

#: Each case has its own loopback address, so that cases can run in parallel,
#: and the network differs between test runs on the same machine.
NETWORK = f'127.{1 + os.getpid() % 250}.7'
HOSTS = {
    'entry': f'{NETWORK}.1',
    'leaf': f'{NETWORK}.2',
    'agent': f'{NETWORK}.3',
}
#: Allows for processes that are slow on a machine under load.
TIMEOUT_S = 240.0
DEPLOYMENT = DEPLOYMENTS['haeparam']._replace(
    services=(
        ServiceSize('crew-brief', 'query', 4, 3, 2, 25, 1.0, warm_after=2),
        ServiceSize('parts-ledger', 'order', 1, 3, 4, 45, 1.0),
    ),
)


class Processes:
    """Three VMs, the store and the targets as separate processes."""

    def __init__(self, folder, host):
        self.folder = folder
        self.host = host
        store = f'{host}:11999'
        self.running = {}
        self.settings = vm_settings(DEPLOYMENT, 3, store=store, host=host)
        targets = self.write('targets', config_of(DEPLOYMENT, host=host))
        standin = 'rosemaryweir.standin.main'
        self.launch('store', standin, 'store', '--address', store)
        self.launch('targets', standin, 'targets', '--config', targets)
        for each in self.settings:
            path = self.write(each['vm'], each)
            for role in ('agent', 'leaf', 'entry'):
                name = f'{each["vm"]}/{role}'
                module = f'rosemaryweir.daemons.{role}'
                self.launch(name, module, '--settings', path)

    def write(self, name, content):
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(content))
        return str(path)

    def launch(self, name, module, *args):
        log = (self.folder / 'log').open('ab')
        command = (sys.executable, '-m', module, *args)
        self.running[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def kill(self, name):
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def shut_down(self):
        """Stop the processes of the VMs and return their exit codes."""
        vms = [name for name in self.running if '/' in name]
        for name in vms:
            self.running[name].send_signal(signal.SIGTERM)
        return {name: self.running[name].wait(TIMEOUT_S) for name in vms}

    def kill_all(self):
        for process in self.running.values():
            process.kill()
            process.wait()

    def entry(self, index):
        return self.settings[index]['addresses']['entry_http']

    def query(self, index):
        body = {'service': 'crew-brief', 'query': 'bolt', 'deadline_ms': 1000}
        return call(self.entry(index), 'POST', '/v1/query', body).value_or(None)

    def order(self, index, key):
        body = {
            'service': 'parts-ledger',
            'order_key': key,
            'body': key,
            'deadline_ms': 1000,
        }
        return call(self.entry(index), 'POST', '/v1/order', body).value_or(None)

    def wait_until_complete(self, index):
        give_up_at = time.monotonic() + TIMEOUT_S
        while time.monotonic() < give_up_at:
            answer = self.query(index)
            if answer and answer.body.get('outcome') == 'complete':
                return
            time.sleep(0.2)
        pytest.fail(f'no complete answer: {(self.folder / "log").read_text()}')

    def apply(self, note):
        address = self.settings[0]['addresses']['agent_http']
        give_up_at = time.monotonic() + TIMEOUT_S
        while time.monotonic() < give_up_at:
            answer = call(address, 'POST', '/v1/notes', note).value_or(None)
            if answer and answer.status == 200:
                return
            time.sleep(0.2)
        pytest.fail('the release note was not accepted')


@pytest.fixture
def processes(tmp_path, role):
    started = Processes(tmp_path, HOSTS[role])
    yield started
    started.kill_all()


def assert_truthful(answer):
    """Check that the rows of an answer match its stated coverage."""
    if answer is None or answer.status != 200:
        return
    coverage = answer.body['coverage']
    shards = {row['shard'] for row in answer.body['rows']}
    assert len(shards) == coverage['covered']
    assert coverage['covered'] + len(coverage['missing']) == coverage['total']
    assert coverage['total'] == 4
    assert not shards & set(coverage['missing'])


@pytest.mark.parametrize('role', ['entry', 'leaf', 'agent'])
def test_kill_of_a_process_leaves_answers_truthful(processes, role):
    processes.apply(note_of(DEPLOYMENT, host=processes.host))
    processes.wait_until_complete(0)
    outcomes = {}
    for step in range(30):
        if step == 10:
            processes.kill(f'vm-001/{role}')
        assert_truthful(processes.query(step % 3))
        for index in (step % 3, (step + 1) % 3):
            answer = processes.order(index, f'order-{step}')
            if answer is not None:
                outcomes.setdefault(step, []).append(answer.body)
    processes.wait_until_complete(0)
    done = [
        bodies
        for bodies in outcomes.values()
        if any(body.get('outcome') == 'done' for body in bodies)
    ]
    assert len(done) > 10
    config = config_of(DEPLOYMENT, host=processes.host)
    target = next(iter(config['targets'].values()))
    stats = call(target['address'], 'GET', '/admin/stats').unwrap().body
    assert stats['doubled'] == 0
    assert set(processes.shut_down().values()) == {0}
