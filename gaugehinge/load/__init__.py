"""Load from outside, by schedule and never held back by answers; its record; and the referee of the
four rules."""
