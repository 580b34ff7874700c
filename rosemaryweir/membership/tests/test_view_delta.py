"""View deltas: applying one gives the same view, or None."""

import hypothesis.strategies as st
from hypothesis import given, settings

from rosemaryweir.membership.view_delta import (
    MAX_VERSIONS_KEPT,
    ViewHistory,
    apply_delta,
    view_delta,
)
from rosemaryweir.testing.deployment import HALVORSEN, vm_settings
from rosemaryweir.testing.process import static_view

DOMAIN = HALVORSEN.domains[0]
VMS = [each for each in vm_settings(HALVORSEN, 24) if each['domain'] == DOMAIN]
NAMES = [each['vm'] for each in VMS]
PLACES = st.sets(st.integers(0, len(VMS) - 1))


def view(version, places, former=(), incarnation=1):
    found = static_view(DOMAIN, [VMS[place] for place in sorted(places)])
    found['version'] = version
    found['members'] = [
        {**member, 'incarnation': incarnation} for member in found['members']
    ]
    found['former'] = [[NAMES[at] for at in sorted(each)] for each in former]
    return found


@settings(derandomize=True, max_examples=100, deadline=None)
@given(PLACES, PLACES, st.lists(PLACES, max_size=3), st.integers(1, 2))
def test_delta_gives_the_same_view(before, after, former, incarnation):
    base = view(3, before)
    wanted = view(5, after, former, incarnation)
    assert apply_delta(base, view_delta(base, wanted)) == wanted


def test_delta_on_another_base_gives_none():
    delta = view_delta(view(3, {1, 2}), view(4, {1, 2, 3}))
    assert apply_delta(view(2, {1, 2}), delta) is None
    assert apply_delta(view(3, {1}), delta) is None


def test_delta_holds_only_what_changed():
    delta = view_delta(view(3, range(8)), view(4, range(1, 8), [range(8)]))
    assert delta['joined'] == []
    assert delta['left'] == NAMES[:1]
    assert delta['former'] == [{'more': NAMES[:1], 'less': []}]


def test_history_keeps_the_latest_versions():
    history = ViewHistory()
    for version in range(1, MAX_VERSIONS_KEPT + 2):
        history.add(view(version, {1}))
    assert history.find(DOMAIN, 1) is None
    assert history.find(DOMAIN, 2) == view(2, {1})
