"""Register the parts that make up the nodes of all roles.

Importing this module registers every part:

==========  ===============================================================
role        parts
==========  ===============================================================
``entry``   agent client, directory, queries, orders
``leaf``    agent client, targets
``agent``   membership and views, configuration, leases for the VM
==========  ===============================================================

A VM runs one process of each role.  The entry accepts requests of callers,
splits a query into sub-queries for the shards of its service, sends each to
the leaf that owns the chosen target, and merges the partial results.  The leaf
owns the connections, slots and cold limits of its targets.  The agent
maintains membership and configuration, and grants the other two the leases
under which they may start work.
"""

import importlib

from rosemaryweir.node.node import Node
from rosemaryweir.node.part import arrange_parts

__all__ = ['PART_MODULES', 'ROLES', 'Node', 'load_parts']

ROLES = ('entry', 'leaf', 'agent')

#: Modules of all parts, in the order in which the parts get events.
PART_MODULES = (
    'rosemaryweir.membership.agent_client',
    'rosemaryweir.membership.directory',
    'rosemaryweir.membership.grants',
    'rosemaryweir.membership.view_service',
    'rosemaryweir.membership.service',
    'rosemaryweir.membership.view_spread',
    'rosemaryweir.config.note_service',
    'rosemaryweir.config.relay',
    'rosemaryweir.config.retention_service',
    'rosemaryweir.config.service',
    'rosemaryweir.query.service',
    'rosemaryweir.orders.service',
    'rosemaryweir.targets.service',
)


def load_parts() -> None:
    """Import the modules of all parts and sort the registered parts."""
    for name in PART_MODULES:
        importlib.import_module(name)
    arrange_parts(PART_MODULES)


load_parts()
