"""The longest prefix selects the route, whatever the number of routes."""

from hypothesis import given
from hypothesis import strategies as st

from rosemaryweir.gateway.model import RouteConfig, WeightedService
from rosemaryweir.gateway.route_table import RouteTable

SEGMENT = st.sampled_from(['a', 'b', 'ab', 'c'])
PREFIX = st.lists(SEGMENT, max_size=4).map(
    lambda parts: '/'.join(('', *parts, '')) if parts else '/',
)
HOST = st.sampled_from(['x.example', 'y.example'])


def route(host, prefix):
    services = (WeightedService('desk', 1),)
    return RouteConfig(host + prefix, host, prefix, True, 1, 1, 0, 2, services)


@given(
    st.lists(st.tuples(HOST, PREFIX), max_size=12, unique=True),
    HOST,
    PREFIX,
)
def test_the_longest_prefix_of_the_host_is_found(pairs, host, path):
    found = RouteTable(route(*pair) for pair in pairs).find(host, path + 'z?/b')
    matching = [
        pair for pair in pairs if pair[0] == host and path.startswith(pair[1])
    ]
    if not matching:
        assert found is None
    else:
        assert found.prefix == max((pair[1] for pair in matching), key=len)
