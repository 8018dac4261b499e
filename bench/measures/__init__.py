"""Parts of the measurement that can be run one by one."""
