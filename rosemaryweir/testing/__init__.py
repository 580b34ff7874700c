"""A virtual-time driver and fakes of the four ports.

Shared by tests, benchmarks and the fault matrix.  The fakes know delay, loss,
refusal and state; they model no machines.
"""

from rosemaryweir.testing.cluster import *
from rosemaryweir.testing.deployment import *
from rosemaryweir.testing.fake_store import *
from rosemaryweir.testing.fake_target import *
from rosemaryweir.testing.network import *
from rosemaryweir.testing.process import *
from rosemaryweir.testing.scheduler import *
from rosemaryweir.testing.target_link import *
