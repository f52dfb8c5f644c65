"""Stand-ins, fault injection, demo and benchmarks."""
