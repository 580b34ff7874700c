"""Nodes without I/O: their events, actions, parts and ports."""

from rosemaryweir.node.action import *
from rosemaryweir.node.event import *
from rosemaryweir.node.node import *
from rosemaryweir.node.part import *
from rosemaryweir.node.ports import *
from rosemaryweir.node.state import *
