"""Compose the node of a role: the whole system in one table.

Importing this module registers every part:

==========  ===============================================================
role        parts
==========  ===============================================================
``entry``   the agent's client, directory, queries, orders
``leaf``    the agent's client, targets
``agent``   membership and views, configuration, leases for the VM
==========  ===============================================================

A VM runs one process of each role.  The entry takes requests of callers,
splits a query over the shards of its service, sends each piece to the leaf
that owns the chosen target, and merges what comes back.  The leaf owns the
connections, slots and cold limits of its targets.  The agent keeps
membership, configuration and leases, and grants the other two their right to
start work.
"""

import importlib

from rosemaryweir.node.node import Node
from rosemaryweir.node.part import arrange_parts

__all__ = ['PART_MODULES', 'ROLES', 'Node', 'load_parts']

ROLES = ('entry', 'leaf', 'agent')

#: Modules whose parts make up the nodes, in the order in which they get
#: events.
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
    """Import the modules of the parts, so that they register in order."""
    for name in PART_MODULES:
        importlib.import_module(name)
    arrange_parts(PART_MODULES)


load_parts()
