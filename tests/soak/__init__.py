"""A randomized soak of real processes, with checks while faults last."""
