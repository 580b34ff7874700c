"""The command line against a simulated agent and entry."""

import json

import pytest
from returns.result import Failure, Success

from rosemaryweir.cli import main
from rosemaryweir.cli.client import CallFailure, CallResponse
from rosemaryweir.testing.deployment import DEPLOYMENTS, note_of

NOTE = note_of(DEPLOYMENTS['halvorsen'])


class FakeVm:
    """Simulates the HTTP interface of a VM."""

    def __init__(self):
        self.generation = 0
        self.notes = []
        self.requests = []
        self.failure = None

    def call(self, address, method, path, body=None):
        """Answer a request."""
        self.requests.append((address, method, path))
        if self.failure is not None:
            return self.failure
        if path == '/v1/notes':
            self.notes.append(body)
            self.generation = body['base'] + 1
        answer = {'generation': self.generation}
        if path == '/v1/latency':
            answer = {
                'vm': 'vm-0',
                'role': 'leaf',
                'histograms': {'query{class=kerb}': [[8.0, 3], [16.0, 1]]},
            }
        return Success(CallResponse(200, answer))


@pytest.fixture
def vm(monkeypatch):
    """Return the simulated VM to which commands send their requests."""
    fake = FakeVm()
    monkeypatch.setattr(main, 'call', fake.call)
    return fake


def write_file(tmp_path, content):
    path = tmp_path / 'note.json'
    path.write_text(json.dumps(content))
    return str(path)


def test_check_prints_every_finding_with_its_place(tmp_path, capsys):
    wrong = {**NOTE, 'base': -1, 'extra': {}}
    with pytest.raises(SystemExit) as exit_info:
        main.Commands().check(write_file(tmp_path, wrong))
    printed = capsys.readouterr().err
    assert exit_info.value.code == main.EXIT_INVALID
    assert '2 findings' in printed
    assert 'base' in printed
    assert 'extra' in printed


def test_check_of_a_file_that_is_missing_or_no_json(tmp_path, capsys):
    path = tmp_path / 'half.json'
    path.write_text('{"note": ')
    for name in (str(path), str(tmp_path / 'none.json')):
        with pytest.raises(SystemExit) as exit_info:
            main.Commands().check(name)
        assert exit_info.value.code == main.EXIT_INVALID
        assert name in capsys.readouterr().err


def test_apply_waits_until_the_generation_is_in_force(vm, tmp_path, capsys):
    main.Commands().apply(write_file(tmp_path, NOTE))
    assert vm.notes == [NOTE]
    assert 'in force: generation 1' in capsys.readouterr().out


def test_drain_and_restore_are_notes_on_the_newest(vm):
    vm.generation = 7
    main.Commands().drain('nordvest-a', reason='power work')
    main.Commands().restore('nordvest-a')
    states = [
        (note['base'], note['changed']['domains']['nordvest-a']['state'])
        for note in vm.notes
    ]
    assert states == [(7, 'out'), (8, 'in')]
    assert vm.notes[0]['note'] != vm.notes[1]['note']


def test_a_refusal_is_shown_and_ends_with_code_one(vm, capsys):
    body = {'reason': 'conflict', 'ran': 'not_run'}
    vm.failure = Success(CallResponse(409, body))
    with pytest.raises(SystemExit) as exit_info:
        main.Commands().drain('nordvest-a')
    assert exit_info.value.code == main.EXIT_REFUSED
    assert 'conflict' in capsys.readouterr().err
    assert not vm.notes


def test_no_answer_names_the_address(vm, capsys):
    vm.failure = Failure(CallFailure('127.0.0.1:9', 'refused'))
    with pytest.raises(SystemExit) as exit_info:
        main.Commands().query('patrol-desk', 'AB12', entry='127.0.0.1:9')
    assert exit_info.value.code == main.EXIT_REFUSED
    assert '127.0.0.1:9' in capsys.readouterr().err


def test_latency_plots_each_histogram(vm, capsys):
    main.Commands().latency('127.0.0.1:12005')
    printed = capsys.readouterr().out
    assert vm.requests == [('127.0.0.1:12005', 'GET', '/v1/latency')]
    assert 'query{class=kerb}' in printed
    assert [line.split()[-1] for line in printed.splitlines()[2:]] == ['3', '1']
