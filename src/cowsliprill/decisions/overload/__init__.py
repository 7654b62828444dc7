"""Decides which work is served first and which is shed under overload.

It answers two loads: a customer that sends several times its usual rate, with
urgent requests among many routine ones, and bursts of the least urgent work. It
decides only the order of work that competes for capacity. It never refuses work
that has room, ends or preempts running work, limits a customer while nobody
else wants the capacity, or does I/O. It holds no state of its own: everything
follows from the running and the waiting work.
"""
