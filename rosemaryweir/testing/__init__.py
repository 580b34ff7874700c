"""Simulates whole VMs in virtual time, with fakes of the four ports.

Used by tests, benchmarks and the fault matrix.  The fakes model delay, loss,
refusal and state, but not the CPU or memory of machines.
"""

from rosemaryweir.testing.cluster import *
from rosemaryweir.testing.deployment import *
from rosemaryweir.testing.fake_store import *
from rosemaryweir.testing.fake_target import *
from rosemaryweir.testing.network import *
from rosemaryweir.testing.process import *
from rosemaryweir.testing.scheduler import *
from rosemaryweir.testing.target_link import *
