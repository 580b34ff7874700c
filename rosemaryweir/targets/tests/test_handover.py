"""Tests of the handover of targets in single cases."""

from rosemaryweir.targets.handover import PREDECESSOR_WORK_S, Handover

STARTED_AT = 100.0
AFTER_PREDECESSOR = STARTED_AT + PREDECESSOR_WORK_S
FOREVER = float('inf')


def _view(version, vm):
    members = [{'vm': vm, 'state': 'alive'}]
    return {'domain': 'd', 'version': version, 'members': members}


def _handover(*vms):
    """Return the handover of vm1 after views with one member each."""
    handover = Handover('vm1', STARTED_AT)
    handover.observe_lease(FOREVER, STARTED_AT)
    for version, vm in enumerate(vms, 1):
        handover.adopt_view(_view(version, vm), ['t'], AFTER_PREDECESSOR)
    return handover


def test_first_view_waits_for_requests_of_an_earlier_process():
    handover = _handover('vm1')
    assert not handover.ready('t', AFTER_PREDECESSOR - 0.01)
    assert handover.ready('t', AFTER_PREDECESSOR)


def test_kept_target_stays_ready():
    assert _handover('vm1', 'vm1').ready('t', AFTER_PREDECESSOR)


def test_new_target_waits_for_its_release():
    handover = _handover('vm2', 'vm1')
    assert not handover.ready('t', AFTER_PREDECESSOR)
    handover.record_release('d', 2, ['t'], AFTER_PREDECESSOR)
    assert handover.ready('t', AFTER_PREDECESSOR)


def test_release_is_accepted_before_its_view():
    handover = _handover('vm2')
    handover.record_release('d', 2, ['t'], AFTER_PREDECESSOR)
    handover.adopt_view(_view(2, 'vm1'), ['t'], AFTER_PREDECESSOR)
    assert handover.ready('t', AFTER_PREDECESSOR)


def test_release_of_an_older_view_is_ignored():
    handover = _handover('vm2', 'vm1', 'vm2', 'vm1')
    handover.record_release('d', 2, ['t'], AFTER_PREDECESSOR)
    assert not handover.ready('t', AFTER_PREDECESSOR)


def test_repeated_release_is_ignored():
    handover = _handover('vm2', 'vm1')
    handover.record_release('d', 4, ['t'], AFTER_PREDECESSOR)
    handover.adopt_view(_view(3, 'vm2'), ['t'], AFTER_PREDECESSOR)
    handover.adopt_view(_view(4, 'vm1'), ['t'], AFTER_PREDECESSOR)
    handover.record_release('d', 4, ['t'], AFTER_PREDECESSOR)
    assert not handover.ready('t', AFTER_PREDECESSOR)


def test_release_just_after_the_start_is_ignored():
    handover = _handover('vm2', 'vm1')
    handover.record_release('d', 2, ['t'], STARTED_AT + 0.5)
    assert not handover.ready('t', AFTER_PREDECESSOR + 1000)


def test_takeover_waits_for_requests_of_the_expired_owner():
    handover = _handover('vm2', 'vm1')
    handover.set_takeover_wait(_view(2, 'vm1'), 1.0, AFTER_PREDECESSOR)
    assert not handover.ready(
        't', AFTER_PREDECESSOR + 1.0 + PREDECESSOR_WORK_S - 0.01
    )
    assert handover.ready('t', AFTER_PREDECESSOR + 1.0 + PREDECESSOR_WORK_S)


def test_takeover_wait_unknown_or_of_another_view_is_ignored():
    handover = _handover('vm2', 'vm1')
    handover.set_takeover_wait(_view(2, 'vm1'), -1.0, AFTER_PREDECESSOR)
    handover.set_takeover_wait(_view(1, 'vm1'), 0.0, AFTER_PREDECESSOR)
    assert not handover.ready('t', AFTER_PREDECESSOR + 1000)


def test_expired_lease_and_skipped_view_end_a_tenure():
    handover = _handover('vm1')
    handover.observe_lease(AFTER_PREDECESSOR, AFTER_PREDECESSOR)
    handover.observe_lease(FOREVER, AFTER_PREDECESSOR + 5)
    handover.adopt_view(_view(3, 'vm1'), ['t'], AFTER_PREDECESSOR + 5)
    assert not handover.ready('t', AFTER_PREDECESSOR + 10)


def test_no_release_after_an_interrupted_tenure():
    handover = _handover('vm1')
    handover.observe_lease(AFTER_PREDECESSOR, AFTER_PREDECESSOR)
    handover.observe_lease(FOREVER, AFTER_PREDECESSOR + 5)
    handover.adopt_view(_view(3, 'vm2'), ['t'], AFTER_PREDECESSOR + 5)
    assert not handover.pending_releases


def test_target_that_returns_before_its_release_waits():
    handover = _handover('vm1', 'vm2')
    assert handover.pending_releases['t'].to == 'vm2'
    handover.adopt_view(_view(3, 'vm1'), ['t'], AFTER_PREDECESSOR)
    assert not handover.pending_releases
    assert not handover.ready('t', AFTER_PREDECESSOR)


def test_target_new_in_the_configuration_is_ready():
    handover = _handover('vm1')
    handover.add_targets('d', ['t', 'new'])
    assert handover.ready('new', AFTER_PREDECESSOR)
