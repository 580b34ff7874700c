"""Orders that run at most once, whatever fails."""

from rosemaryweir.orders.admission import *
from rosemaryweir.orders.answer import *
from rosemaryweir.orders.attempts import *
from rosemaryweir.orders.book import *
from rosemaryweir.orders.bucket import *
from rosemaryweir.orders.cleaning import *
from rosemaryweir.orders.desk import *
from rosemaryweir.orders.endings import *
from rosemaryweir.orders.group import *
from rosemaryweir.orders.index import *
from rosemaryweir.orders.keys import *
from rosemaryweir.orders.life import *
from rosemaryweir.orders.logs import *
from rosemaryweir.orders.pace import *
from rosemaryweir.orders.sending import *
from rosemaryweir.orders.service import *
from rosemaryweir.orders.settle import *
from rosemaryweir.orders.target_choice import *
from rosemaryweir.orders.waiting import *
