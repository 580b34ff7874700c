"""Targets: limits, warmth, connections, ownership."""

from rosemaryweir.targets.ownership import *
