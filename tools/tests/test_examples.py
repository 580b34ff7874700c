"""The examples run and print what they promise."""

import pathlib
import runpy

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / 'examples'


def run_example(name, capsys):
    runpy.run_path(str(EXAMPLES / f'{name}.py'), run_name='__main__')
    return capsys.readouterr().out


def test_query_with_straggler_is_complete(capsys):
    out = run_example('query_with_straggler', capsys)
    assert 'outcome: complete' in out
    assert "'missing': []" in out


def test_order_asked_twice_runs_once(capsys):
    out = run_example('order_asked_twice', capsys)
    assert 'vm-002 done recorded: True' in out
    assert 'runs: 1\n' in out


def test_one_node_driven_by_hand_takes_a_note(capsys):
    out = run_example('drive_one_node', capsys)
    assert 'answer: 200' in out
    assert 'generation in force: 1\n' in out


def test_every_example_has_a_test():
    assert {path.stem for path in EXAMPLES.glob('*.py')} == {
        'query_with_straggler',
        'order_asked_twice',
        'drive_one_node',
    }
