"""Order handling of an entry: each order key runs at most once."""

from rosemaryweir.orders.admission import *
from rosemaryweir.orders.answer import *
from rosemaryweir.orders.backoff import *
from rosemaryweir.orders.bucket_index import *
from rosemaryweir.orders.bucket_writer import *
from rosemaryweir.orders.bucket_writers import *
from rosemaryweir.orders.claim_records import *
from rosemaryweir.orders.keys import *
from rosemaryweir.orders.open_orders import *
from rosemaryweir.orders.order import *
from rosemaryweir.orders.order_completion import *
from rosemaryweir.orders.order_processor import *
from rosemaryweir.orders.order_sender import *
from rosemaryweir.orders.pending_writes import *
from rosemaryweir.orders.record_expiry import *
from rosemaryweir.orders.segment import *
from rosemaryweir.orders.service import *
from rosemaryweir.orders.target_choice import *
from rosemaryweir.orders.write_rate import *
