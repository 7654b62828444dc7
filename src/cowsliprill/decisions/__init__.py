"""Sans-I/O state machines: typed inputs, typed outputs, time as an argument."""
