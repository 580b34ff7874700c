"""Membership of VMs: heartbeats, views, leases and the directory."""

from rosemaryweir.membership.agent_client import *
from rosemaryweir.membership.directory import *
from rosemaryweir.membership.directory_choice import *
from rosemaryweir.membership.prober import *
from rosemaryweir.membership.quorum import *
from rosemaryweir.membership.relay_tree import *
from rosemaryweir.membership.removed_vms import *
from rosemaryweir.membership.roster import *
from rosemaryweir.membership.store_calls import *
from rosemaryweir.membership.succession import *
from rosemaryweir.membership.timing import *
from rosemaryweir.membership.views import *
