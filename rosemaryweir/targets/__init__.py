"""Leaf side of targets: ownership, limits, connections, warm-up."""

from rosemaryweir.targets.attempt_queue import *
from rosemaryweir.targets.connections import *
from rosemaryweir.targets.dispatcher import *
from rosemaryweir.targets.exclusions import *
from rosemaryweir.targets.handover import *
from rosemaryweir.targets.latency import *
from rosemaryweir.targets.latency_history import *
from rosemaryweir.targets.leaf_attempt_outcome import *
from rosemaryweir.targets.leaf_outbox import *
from rosemaryweir.targets.leaf_target_registry import *
from rosemaryweir.targets.leaf_target_state import *
from rosemaryweir.targets.limits import *
from rosemaryweir.targets.overdue import *
from rosemaryweir.targets.ownership import *
from rosemaryweir.targets.release_schedule import *
from rosemaryweir.targets.results import *
from rosemaryweir.targets.sent_orders import *
from rosemaryweir.targets.service_latencies import *
from rosemaryweir.targets.slots import *
from rosemaryweir.targets.start_permission import *
from rosemaryweir.targets.target_attempt import *
from rosemaryweir.targets.target_maintenance import *
from rosemaryweir.targets.timer_heap import *
from rosemaryweir.targets.warmth import *
