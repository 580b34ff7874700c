"""Names that the platform's protocol gives to headers, paths and kinds."""

__all__ = [
    'ALWAYS_DROPPED',
    'COLD',
    'CONFIG_KIND',
    'CONFIG_NAME',
    'DEADLINE',
    'DOMAINS_OUT_KIND',
    'INCARNATION',
    'INCARNATION_IS',
    'MISSING',
    'NOT_RUN',
    'PARTIALS',
    'READY_PATH',
    'REQUEST_ID',
    'RESOLVE_PATH',
    'RETRY_AFTER',
    'SETTINGS_VARIABLE',
    'SIGNATURE',
    'TARGETS_KIND',
    'VMS_KIND',
]

SETTINGS_VARIABLE = 'ROSEMARYWEIR_BOOT'

READY_PATH = '/ready'
RESOLVE_PATH = '/resolve'

CONFIG_KIND = 'config'
CONFIG_NAME = 'main'
TARGETS_KIND = 'servers'
#: Failure domains that operators have taken out.
DOMAINS_OUT_KIND = 'evacuations'
#: A kind of our own: one object for each VM.
VMS_KIND = 'vms'

REQUEST_ID = 'x-request-id'
#: Milliseconds that the sender still waits.
DEADLINE = 'x-request-deadline-ms'
#: Proof that a target made a reply; opaque.
SIGNATURE = 'x-response-stamp'
#: Incarnation that a request is meant for.
INCARNATION = 'x-expect-instance'
#: Incarnation that a target says it is.
INCARNATION_IS = 'x-instance-id'
NOT_RUN = 'x-not-executed'
RETRY_AFTER = 'retry-after'
COLD = 'x-cold-remaining-ms'
#: Signatures of the partials of a merged answer.
PARTIALS = 'x-part-stamps'
MISSING = 'x-missing-parts'

#: Headers that concern one connection, or that we set ourselves.
ALWAYS_DROPPED = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        DEADLINE.encode(),
        INCARNATION.encode(),
    ),
)
