"""Configuration: release notes, distribution and freshness evidence."""

from rosemaryweir.config.chunk_assembly import *
from rosemaryweir.config.content import *
from rosemaryweir.config.delta import *
from rosemaryweir.config.delta_chain import *
from rosemaryweir.config.freshness import *
from rosemaryweir.config.head import *
from rosemaryweir.config.note import *
from rosemaryweir.config.note_schema import *
from rosemaryweir.config.pending_intents import *
from rosemaryweir.config.references import *
from rosemaryweir.config.retention import *
from rosemaryweir.config.upload import *
from rosemaryweir.config.vouch_encoding import *
