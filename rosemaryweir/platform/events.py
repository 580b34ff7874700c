"""Log events of the VM program."""

from collections.abc import Mapping

from rosemaryweir.telemetry.log_events import register_event

__all__ = [
    'CACHE_EVENTS',
    'MALFORMED_INPUT',
    'RELAYED',
    'RELOADED',
    'STARTED',
    'STOPPED',
    'STOPPING',
    'STORE_LOST',
    'STORE_REGAINED',
    'TRAFFIC',
    'UNEXPECTED_ERROR',
    'VM_REMOVED',
]

STARTED = register_event(
    850,
    'vm.started',
    'info',
    'The process listens on its addresses.',
)
STOPPING = register_event(
    851,
    'vm.stopping',
    'info',
    'Shutdown has begun: the VM has left the directory and answers the '
    'remaining requests.',
)
STOPPED = register_event(
    852,
    'vm.stopped',
    'info',
    'The process exits; `open` is the number of requests left unanswered.',
)
RELOADED = register_event(
    853,
    'vm.reloaded',
    'info',
    'The settings file was read again; `outcome` says whether it was applied.',
)
STORE_LOST = register_event(
    854,
    'store.lost',
    'warning',
    'A call to the store failed. Known objects stay in force, and changes are '
    'fetched from other VMs.',
)
STORE_REGAINED = register_event(
    855,
    'store.regained',
    'info',
    'The store answers again.',
)
RELAYED = register_event(
    856,
    'store.relayed',
    'info',
    'Changes were fetched from another VM, or the attempt failed (`why`).',
)
VM_REMOVED = register_event(
    857,
    'store.vm_removed',
    'info',
    'The object of a VM that is gone was deleted from the store.',
)
TRAFFIC = register_event(
    858,
    'vm.traffic',
    'info',
    'Bytes exchanged since the start, by purpose and by whether the peer is '
    'in the own failure domain.',
)
MALFORMED_INPUT = register_event(
    859,
    'vm.malformed_input',
    'warning',
    'A message was malformed and ignored: `input` is its kind, `from` its '
    'sender.',
)
UNEXPECTED_ERROR = register_event(
    866,
    'vm.unexpected_error',
    'error',
    'An unexpected error ended a request or a task (`source`); a task is '
    'started again. It is a fault of the program: report it with the line.',
)
CACHE_EVENTS: Mapping[str, int] = {
    'config': register_event(
        860,
        'belief.config',
        'info',
        'A new version of the configuration is in force on this VM.',
    ),
    'config_unreadable': register_event(
        861,
        'belief.config_unreadable',
        'error',
        'The newest configuration is malformed; the previous one stays in '
        'force.',
    ),
    'target_leaving': register_event(
        862,
        'belief.target_leaving',
        'info',
        'A target is draining and gets no new requests.',
    ),
    'target_gone': register_event(
        863,
        'belief.target_gone',
        'info',
        'A target is no longer registered and gets no new requests.',
    ),
    'target_unreadable': register_event(
        864,
        'belief.target_unreadable',
        'warning',
        'The registration of a target is malformed; other targets stay in use.',
    ),
    'domain': register_event(
        865,
        'belief.domain',
        'info',
        'A failure domain was evacuated (`out`), or gets requests again.',
    ),
}
