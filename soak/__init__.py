"""
Runs real entries under random faults and load, and checks what the system promises.

    python -m soak --seed 7 --minutes 1 --json
"""
