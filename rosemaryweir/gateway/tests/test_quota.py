"""All VMs together never have more connections than a target accepts."""

from hypothesis import given
from hypothesis import strategies as st

from rosemaryweir.gateway.quota import ConnectionQuota, VmInfo, slack_share

DOMAINS = ('a', 'b', 'c')


def fleet(sizes, large=0):
    return [
        VmInfo(f'{domain}-{number}', domain, 2.0 if number < large else 0.5)
        for domain, size in zip(DOMAINS, sizes, strict=True)
        for number in range(size)
    ]


def rooms(vms, limit, domain='a'):
    found = {}
    for vm in vms:
        shares = ConnectionQuota(vm)
        shares.update(vms)
        found[vm] = shares.room('t-1', domain, limit)
    return found


@given(
    st.tuples(*(st.integers(0, 60) for _ in DOMAINS)).filter(any),
    st.integers(10, 200),
    st.integers(0, 3),
)
def test_the_limit_holds_for_every_size_of_fleet(sizes, limit, large):
    assert sum(rooms(fleet(sizes, large), limit).values()) <= limit


def test_large_vms_get_more_and_near_small_ones_keep_theirs():
    found = rooms(fleet((28, 26, 25), large=2), limit=72)
    large = [room for vm, room in found.items() if vm.capacity > 1]
    near = [
        room
        for vm, room in found.items()
        if vm.domain == 'a' and vm.capacity < 1
    ]
    assert min(large) >= 5
    assert min(near) >= 1


@given(
    st.tuples(*(st.integers(0, 60) for _ in DOMAINS)).filter(any),
    st.integers(0, 3),
)
def test_shares_of_what_is_divided_make_up_the_whole(sizes, large):
    vms = fleet(sizes, large)
    assert sum(slack_share(vm, vms) for vm in vms) < 1.0001


def test_the_own_failure_domain_comes_first():
    found = rooms(fleet((26, 27, 26)), limit=72)
    near = [room for vm, room in found.items() if vm.domain == 'a']
    far = [room for vm, room in found.items() if vm.domain != 'a']
    assert min(near) >= 1
    assert 15 <= sum(far) <= 53
