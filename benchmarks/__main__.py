"""Runs benchmarks: ``python -m benchmarks NAME [--json] [--quick] [--seed N]``.

``NAME`` may be ``all``.  With ``--json`` each benchmark prints one line with a
JSON object, otherwise a table.  The exit status is 1 if a check does not hold
and 2 if the benchmark is unknown.
"""

import importlib
import json
import pathlib
import sys

import fire

from benchmarks.report import Report, benchmarks

__all__ = ['main']

DEFAULT_SEED = 1
NON_BENCHMARKS = ('__init__', '__main__', 'report')


def _load() -> None:
    for path in sorted(pathlib.Path(__file__).parent.glob('*.py')):
        if path.stem not in NON_BENCHMARKS:
            importlib.import_module(f'benchmarks.{path.stem}')


def _as_json(report: Report) -> str:
    content = report._asdict()
    content['checks'] = [check._asdict() for check in report.checks]
    return json.dumps(content)


def _as_table(report: Report) -> str:
    lines = [f'{report.name} (seed {report.seed})']
    for title, figures in (
        ('figure', report.figures),
        ('baseline', report.baselines),
    ):
        lines.extend(
            f'  {title:9} {name:44} {figure}'
            for name, figure in figures.items()
        )
    lines.extend(
        f'  {"holds" if check.holds else "FAILS":9} {check.name:44} '
        f'{check.value:.6g} (bound {check.bound:.6g})'
        for check in report.checks
    )
    return '\n'.join(lines)


def run(
    name: str,
    seed: int = DEFAULT_SEED,
    quick: bool = False,
    json: bool = False,  # noqa: A002
    plot: str = '',
) -> None:
    """Run one benchmark, or ``all`` of them.

    Parameters
    ----------
    name : str
        Name of the benchmark.
    seed : int
        Seed of the run; every check must hold for every seed.
    quick : bool
        End within 50 s, with the same checks.
    json : bool
        Print one JSON object as the last line.
    plot : str
        File for a picture, where the benchmark draws one.
    """
    _load()
    known = benchmarks()
    names = sorted(known) if name == 'all' else [name]
    unknown = [each for each in names if each not in known]
    if unknown:
        print(f'unknown benchmark {unknown[0]}; known: {sorted(known)}')
        sys.exit(2)
    reports = [known[each](seed, quick) for each in names]
    show = _as_json if json else _as_table
    for report in reports:
        print(show(report))
    holds = all(check.holds for report in reports for check in report.checks)
    sys.exit(int(not holds))


def main() -> None:
    """Run the command line."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
