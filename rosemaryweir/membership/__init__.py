"""Membership: who is there, leases, the directory."""

from rosemaryweir.membership.agent_client import *
from rosemaryweir.membership.directory import *
from rosemaryweir.membership.directory_choice import *
from rosemaryweir.membership.timing import *
