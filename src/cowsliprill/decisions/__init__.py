"""Pure state machines: data classes in, data classes out, time passed in."""
