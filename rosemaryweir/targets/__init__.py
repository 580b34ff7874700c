"""Targets: limits, warmth, connections, ownership."""

from rosemaryweir.targets.connections import *
from rosemaryweir.targets.dispatcher import *
from rosemaryweir.targets.exclusions import *
from rosemaryweir.targets.gate import *
from rosemaryweir.targets.handover import *
from rosemaryweir.targets.history import *
from rosemaryweir.targets.latency import *
from rosemaryweir.targets.leaf_outbox import *
from rosemaryweir.targets.leaf_target_registry import *
from rosemaryweir.targets.leaf_target_state import *
from rosemaryweir.targets.limits import *
from rosemaryweir.targets.order_memory import *
from rosemaryweir.targets.outcome import *
from rosemaryweir.targets.overdue import *
from rosemaryweir.targets.ownership import *
from rosemaryweir.targets.peers import *
from rosemaryweir.targets.queue import *
from rosemaryweir.targets.releases import *
from rosemaryweir.targets.results import *
from rosemaryweir.targets.slots import *
from rosemaryweir.targets.target_attempt import *
from rosemaryweir.targets.timers import *
from rosemaryweir.targets.upkeep import *
from rosemaryweir.targets.warmth import *
