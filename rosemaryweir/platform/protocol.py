"""Headers, paths and kinds of objects of the platform's protocol."""

__all__ = [
    'NOT_FORWARDED_HEADERS',
    'COLD_REMAINING_HEADER',
    'CONFIG_KIND',
    'CONFIG_NAME',
    'DEADLINE_HEADER',
    'EVACUATIONS_KIND',
    'EXPECTED_INCARNATION_HEADER',
    'ACTUAL_INCARNATION_HEADER',
    'LEAVING_HEADER',
    'MISSING_COUNT_HEADER',
    'NOT_RUN_HEADER',
    'PARTIAL_SIGNATURES_HEADER',
    'READY_PATH',
    'REQUEST_ID_HEADER',
    'RESOLVE_PATH',
    'RETRY_AFTER_HEADER',
    'SETTINGS_ENV_VAR',
    'SIGNATURE_HEADER',
    'TARGETS_KIND',
    'VMS_KIND',
]

#: Environment variable that holds the path of the settings file.
SETTINGS_ENV_VAR = 'ROSEMARYWEIR_BOOT'

READY_PATH = '/ready'
RESOLVE_PATH = '/resolve'

CONFIG_KIND = 'config'
CONFIG_NAME = 'main'
TARGETS_KIND = 'servers'
#: Objects that name the failure domains operators have evacuated.
EVACUATIONS_KIND = 'evacuations'
#: A kind that only this program uses: one object for each VM.
VMS_KIND = 'vms'

REQUEST_ID_HEADER = 'x-request-id'
#: Milliseconds that the sender will still wait.
DEADLINE_HEADER = 'x-request-deadline-ms'
#: Opaque proof that a target made a reply.
SIGNATURE_HEADER = 'x-response-stamp'
#: Incarnation of the target that a request is meant for.
EXPECTED_INCARNATION_HEADER = 'x-expect-instance'
#: Incarnation of the target that replies.
ACTUAL_INCARNATION_HEADER = 'x-instance-id'
#: Present if the target did not run the request.
NOT_RUN_HEADER = 'x-not-executed'
RETRY_AFTER_HEADER = 'retry-after'
#: ``1`` in each reply of a target that is about to end.
LEAVING_HEADER = 'server-leaving'
#: Milliseconds for which the target will still be cold.
COLD_REMAINING_HEADER = 'x-cold-remaining-ms'
#: Signatures of the partials that a merged answer consists of.
PARTIAL_SIGNATURES_HEADER = 'x-part-stamps'
#: Number of shards that a merged answer lacks.
MISSING_COUNT_HEADER = 'x-missing-parts'

#: Headers that concern one connection only, or that this program sets itself.
NOT_FORWARDED_HEADERS = frozenset(
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
        DEADLINE_HEADER.encode(),
        EXPECTED_INCARNATION_HEADER.encode(),
        LEAVING_HEADER.encode(),
    ),
)
