"""The parts of the measurements, one module each."""
