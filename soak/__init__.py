"""A randomized soak: real routers under faults from outside, judged by what others see."""
