"""The ``rosemaryweir`` command."""

import json
import os
import pathlib
import sys
import time
import uuid
from collections.abc import Iterable, Mapping
from typing import Any, NoReturn

import fire
from returns.result import Success

from rosemaryweir.cli.client import CallResponse, call
from rosemaryweir.cli.demo import Demo
from rosemaryweir.cli.show import (
    findings_lines,
    plan_lines,
    plot_lines,
    status_lines,
)
from rosemaryweir.exception import InvalidInput
from rosemaryweir.node.state import CONFIG_FORMAT
from rosemaryweir.schema.check import checked

__all__ = ['Commands', 'main']

EXIT_INVALID = 2
EXIT_REFUSED = 1
DEFAULT_ENTRY = '127.0.0.1:12000'
DEFAULT_AGENT = '127.0.0.1:12004'
FIRST_ERROR_STATUS = 400
APPLY_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.2


def _print(lines: Iterable[str]) -> None:
    for line in lines:
        print(line)


def _exit_with(message: str, code: int) -> NoReturn:
    print(message, file=sys.stderr)
    sys.exit(code)


def _read(path: str, schema_name: str) -> Any:
    try:
        return checked(schema_name, pathlib.Path(path).read_bytes())
    except OSError as exc:
        _exit_with(f'{path}: {exc.strerror}', EXIT_INVALID)
    except InvalidInput as exc:
        lines = '\n'.join(findings_lines(exc.findings))
        _exit_with(
            f'{path}: {len(exc.findings)} findings\n{lines}', EXIT_INVALID
        )


def _request(
    address: str,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
) -> Any:
    """Return the body of the response, or exit on a refusal."""
    outcome = call(address, method, path, body)
    if not isinstance(outcome, Success):
        _exit_with(str(outcome.failure()), EXIT_REFUSED)
    answer: CallResponse = outcome.unwrap()
    if answer.status >= FIRST_ERROR_STATUS:
        body_text = json.dumps(answer.body, indent=2)
        _exit_with(f'refused ({answer.status}): {body_text}', EXIT_REFUSED)
    return answer.body


class Commands:
    """Operate and query a rosemaryweir deployment.

    Operators' commands use an agent (``--agent``) and callers' commands an
    entry (``--entry``), on any VM.
    """

    def check(self, path: str, kind: str = 'note') -> None:
        """Validate a file and print all findings.

        Args:
            path: the JSON file.
            kind: note, settings or config.
        """
        _read(path, kind)
        print(f'{path}: no findings')

    def plan(self, path: str, agent: str = DEFAULT_AGENT) -> None:
        """Show the changes of a release note without applying it."""
        note = _read(path, 'note')
        _request(agent, 'POST', '/v1/plan', note)
        print(f'note {note["note"]} on generation {note["base"]}:')
        _print(plan_lines(note))

    def apply(self, path: str, agent: str = DEFAULT_AGENT) -> None:
        """Apply a release note and wait until it is in force on the VM."""
        self._apply(_read(path, 'note'), agent)

    def status(self, address: str = DEFAULT_ENTRY) -> None:
        """Show the status of an entry, leaf or agent."""
        _print(status_lines(_request(address, 'GET', '/v1/status')))

    def latency(self, address: str = DEFAULT_ENTRY) -> None:
        """Plot the latency histograms of a process, by tenant and class."""
        _print(plot_lines(_request(address, 'GET', '/v1/latency')))

    def drain(
        self, domain: str, agent: str = DEFAULT_AGENT, reason: str = ''
    ) -> None:
        """Withdraw a failure domain, so that it gets no new work."""
        self._set_domain(domain, 'out', agent, reason)

    def restore(
        self,
        domain: str,
        agent: str = DEFAULT_AGENT,
        reason: str = '',
    ) -> None:
        """Restore a failure domain; its targets are treated as cold."""
        self._set_domain(domain, 'in', agent, reason)

    def query(
        self,
        service: str,
        text: str,
        entry: str = DEFAULT_ENTRY,
        deadline_ms: int = 2000,
    ) -> None:
        """Send a query and print the answer as JSON."""
        body = {
            'service': service,
            'query': str(text),
            'deadline_ms': deadline_ms,
        }
        answer = _request(entry, 'POST', '/v1/query', body)
        print(json.dumps(answer, indent=2))

    def order(
        self,
        service: str,
        order_key: str,
        body: str,
        entry: str = DEFAULT_ENTRY,
        deadline_ms: int = 2000,
    ) -> None:
        """Place an order; repeating the command with its key is safe.

        An order never runs twice under the same key.
        """
        content = {
            'service': service,
            'order_key': str(order_key),
            'body': str(body),
            'deadline_ms': deadline_ms,
        }
        answer = _request(entry, 'POST', '/v1/order', content)
        print(json.dumps(answer, indent=2))

    def directory(self, entry: str = DEFAULT_ENTRY, domain: str = '') -> None:
        """Show the VMs that callers should use."""
        path = f'/v1/directory?domain={domain}' if domain else '/v1/directory'
        print(json.dumps(_request(entry, 'GET', path), indent=2))

    def demo(self, folder: str, deployment: str = 'halvorsen') -> None:
        """Run the demo on running processes; see ``make demo``."""
        sys.exit(Demo.from_folder(folder, deployment).run())

    def demo_files(self, folder: str, deployment: str = 'halvorsen') -> None:
        """Write the settings and release note of the demo."""
        _print(Demo.from_folder(folder, deployment).write_files())

    def _set_domain(
        self,
        domain: str,
        state: str,
        agent: str,
        reason: str,
    ) -> None:
        config = _request(agent, 'GET', '/v1/config')
        note = {
            'note': f'{domain}-{state}-{uuid.uuid4().hex}',
            'format': CONFIG_FORMAT,
            'base': config['generation'],
            'reason': reason,
            'changed': {'domains': {domain: {'state': state}}},
        }
        self._apply(note, agent)

    def _apply(self, note: Mapping[str, Any], agent: str) -> None:
        _print(plan_lines(note))
        _request(agent, 'POST', '/v1/notes', note)
        print(f'accepted: note {note["note"]}')
        new_generation = note['base'] + 1
        give_up_at = time.monotonic() + APPLY_TIMEOUT_S
        while (
            _request(agent, 'GET', '/v1/status')['generation'] < new_generation
        ):
            if time.monotonic() > give_up_at:
                _exit_with(
                    f'accepted, but not in force after {APPLY_TIMEOUT_S:.0f} s',
                    EXIT_REFUSED,
                )
            time.sleep(POLL_INTERVAL_S)
        print(f'in force: generation {new_generation}')


def main() -> None:
    """Run the command line."""
    try:
        fire.Fire(Commands, name='rosemaryweir')
    except BrokenPipeError:
        # The reader closed the pipe; the rest of the output is discarded.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


if __name__ == '__main__':
    main()
