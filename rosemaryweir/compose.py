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

from rosemaryweir.node.node import Node

__all__ = ['ROLES', 'Node']

ROLES = ('entry', 'leaf', 'agent')
