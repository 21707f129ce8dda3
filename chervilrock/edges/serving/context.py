"""Objects that all requests of a node share."""

from typing import NamedTuple

from chervilrock.clients.curlpool import CurlPool
from chervilrock.serving_metrics import ServingMetrics
from chervilrock.tasks.serving.poisondetector import PoisonDetector
from chervilrock.tasks.serving.state import ServingState
from chervilrock.tasks.serving.waitqueue import WaitQueue


class Context(NamedTuple):
    """Objects that all requests of a node share."""

    state: ServingState
    waitqueue: WaitQueue
    pool: CurlPool
    metrics: ServingMetrics
    poisondetector: PoisonDetector
