"""Probing: helpers, suspicion, pauses."""

from random import Random

from rosemaryweir.membership.prober import OverdueProbe, Prober, RandomRotation

VM = {'vm': 'vm-2'}


def test_silence_asks_helpers_once_and_then_raises_suspicion():
    prober = Prober()
    prober.start(VM, 10.0)
    assert list(prober.overdue(10.1)) == []
    assert list(prober.overdue(10.3)) == [OverdueProbe('vm-2', suspect=False)]
    assert list(prober.overdue(10.5)) == []
    assert list(prober.overdue(10.7)) == [OverdueProbe('vm-2', suspect=True)]
    assert list(prober.overdue(10.9)) == []


def test_probe_for_another_vm_asks_nobody_and_suspects_nobody():
    prober = Prober()
    prober.start(VM, 10.0, on_behalf=True)
    steps = [10.1, 10.3, 10.5, 10.7, 10.9]
    assert not any(list(prober.overdue(now)) for now in steps)


def test_answer_tells_when_its_probe_was_sent_and_clears_older_ones():
    prober = Prober()
    first = prober.start(VM, 10.0)
    second = prober.start(VM, 10.1)
    assert prober.record_answer('vm-3', second) is None
    assert prober.record_answer('vm-2', second) == 10.1
    assert prober.record_answer('vm-2', first) is None
    assert list(prober.overdue(10.7)) == []


def test_answer_to_a_helper_excuses():
    prober = Prober()
    prober.start(VM, 10.0)
    prober.cancel_probes('vm-2')
    assert list(prober.overdue(10.7)) == []


def test_paused_prober_suspects_nobody():
    prober = Prober()
    assert list(prober.overdue(9.9)) == []
    prober.start(VM, 10.0)
    assert list(prober.overdue(13.0)) == []
    assert list(prober.overdue(13.2)) == []


def test_rotation_names_each_once_in_a_round():
    rotation = RandomRotation(Random(1))
    names = ['a', 'b', 'c']
    assert sorted(rotation.next(names) for _ in names) == names
    assert rotation.next([]) is None
