"""
A randomized soak: real entries as processes, faults from outside, promises checked.

    python -m soak --seed 7 --minutes 1 --json
"""
