"""Cost of control traffic at several site sizes, extrapolated to a fleet."""

from magnoliagrade_standins.slopes.command import slopes_command
from magnoliagrade_standins.slopes.fitting import Fleet, fit_line, predict
from magnoliagrade_standins.slopes.measuring import SizeResult, measure_size
from magnoliagrade_standins.slopes.sizes import FAMILIES, Size

__all__ = [
    "FAMILIES",
    "Fleet",
    "Size",
    "SizeResult",
    "fit_line",
    "measure_size",
    "predict",
    "slopes_command",
]
