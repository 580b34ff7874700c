"""Tests of single cases of the handover."""

from rosemaryweir.targets.handover import PREDECESSOR_WORK_S, Handover

BORN = 100.0
LATER = BORN + PREDECESSOR_WORK_S
FOREVER = float('inf')


def _view(version, vm):
    members = [{'vm': vm, 'state': 'alive'}]
    return {'domain': 'd', 'version': version, 'members': members}


def _leaf(*vms):
    """Return the handover of vm1 after views that each name one owner."""
    handover = Handover('vm1', BORN)
    handover.observe_lease(FOREVER, BORN)
    for version, vm in enumerate(vms, 1):
        handover.adopt_view(_view(version, vm), ['t'], LATER)
    return handover


def test_first_view_waits_for_what_an_earlier_process_left():
    leaf = _leaf('vm1')
    assert not leaf.ready('t', LATER - 0.01)
    assert leaf.ready('t', LATER)


def test_kept_target_stays_ready():
    assert _leaf('vm1', 'vm1').ready('t', LATER)


def test_gain_waits_for_release():
    leaf = _leaf('vm2', 'vm1')
    assert not leaf.ready('t', LATER)
    leaf.record_release('d', 2, ['t'], LATER)
    assert leaf.ready('t', LATER)


def test_release_may_come_before_the_view():
    leaf = _leaf('vm2')
    leaf.record_release('d', 2, ['t'], LATER)
    leaf.adopt_view(_view(2, 'vm1'), ['t'], LATER)
    assert leaf.ready('t', LATER)


def test_release_of_an_older_view_is_void():
    leaf = _leaf('vm2', 'vm1', 'vm2', 'vm1')
    leaf.record_release('d', 2, ['t'], LATER)
    assert not leaf.ready('t', LATER)


def test_release_counts_once():
    leaf = _leaf('vm2', 'vm1')
    leaf.record_release('d', 4, ['t'], LATER)
    leaf.adopt_view(_view(3, 'vm2'), ['t'], LATER)
    leaf.adopt_view(_view(4, 'vm1'), ['t'], LATER)
    leaf.record_release('d', 4, ['t'], LATER)
    assert not leaf.ready('t', LATER)


def test_release_meant_for_the_process_before_is_ignored():
    leaf = _leaf('vm2', 'vm1')
    leaf.record_release('d', 2, ['t'], BORN + 0.5)
    assert not leaf.ready('t', LATER + 1000)


def test_takeover_waits_for_the_work_of_the_lapsed_owner():
    leaf = _leaf('vm2', 'vm1')
    leaf.set_takeover_wait(_view(2, 'vm1'), 1.0, LATER)
    assert not leaf.ready('t', LATER + 1.0 + PREDECESSOR_WORK_S - 0.01)
    assert leaf.ready('t', LATER + 1.0 + PREDECESSOR_WORK_S)


def test_takeover_unknown_or_of_another_view_says_nothing():
    leaf = _leaf('vm2', 'vm1')
    leaf.set_takeover_wait(_view(2, 'vm1'), -1.0, LATER)
    leaf.set_takeover_wait(_view(1, 'vm1'), 0.0, LATER)
    assert not leaf.ready('t', LATER + 1000)


def test_pause_over_skipped_views_ends_a_tenure():
    leaf = _leaf('vm1')
    leaf.observe_lease(LATER, LATER)
    leaf.observe_lease(FOREVER, LATER + 5)
    leaf.adopt_view(_view(3, 'vm1'), ['t'], LATER + 5)
    assert not leaf.ready('t', LATER + 10)


def test_no_release_by_one_that_may_have_been_succeeded():
    leaf = _leaf('vm1')
    leaf.observe_lease(LATER, LATER)
    leaf.observe_lease(FOREVER, LATER + 5)
    leaf.adopt_view(_view(3, 'vm2'), ['t'], LATER + 5)
    assert not leaf.pending_releases


def test_target_that_comes_back_before_its_release_waits():
    leaf = _leaf('vm1', 'vm2')
    assert leaf.pending_releases['t'].to == 'vm2'
    leaf.adopt_view(_view(3, 'vm1'), ['t'], LATER)
    assert not leaf.pending_releases
    assert not leaf.ready('t', LATER)


def test_new_target_of_a_settled_view_is_ready():
    leaf = _leaf('vm1')
    leaf.add_targets('d', ['t', 'new'])
    assert leaf.ready('new', LATER)
