"""Tests that the examples run and print the expected results."""

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


def test_order_placed_twice_runs_once(capsys):
    out = run_example('order_placed_twice', capsys)
    assert 'vm-002 done recorded: True' in out
    assert 'runs: 1\n' in out


def test_driven_node_applies_a_release_note(capsys):
    out = run_example('drive_one_node', capsys)
    assert 'answer: 200' in out
    assert 'generation in force: 1\n' in out


def test_every_example_has_a_test():
    assert {path.stem for path in EXAMPLES.glob('*.py')} == {
        'query_with_straggler',
        'order_placed_twice',
        'drive_one_node',
    }
